package kvapi_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/emul/fault"
	"github.com/figreel/figreel/internal/emul/kv"
	"github.com/figreel/figreel/internal/emul/memnet"
	"github.com/figreel/figreel/internal/kvapi"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/xhttp"
)

// bubble runs f on virtual time with a client of s.
func bubble(t *testing.T, s *kv.Store, f func(t *testing.T, c *kvapi.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var n memnet.Net
		defer n.Serve("kv:80", s)()
		c := &kvapi.Client{URL: "http://kv:80", Stats: new(stats.Set), HTTP: xhttp.Client{Dial: n.Dial}}
		defer c.Close()
		f(t, c)
	})
}

func want(t *testing.T, err, target error) {
	t.Helper()
	if !errors.Is(err, target) {
		t.Errorf("got error %v, want %v", err, target)
	}
}

// TestConditions guards against a lost update and against a definite answer that is taken for no answer.
func TestConditions(t *testing.T) {
	bubble(t, new(kv.Store), func(t *testing.T, c *kvapi.Client) {
		ctx := t.Context()
		_, err := c.Get(ctx, "a")
		want(t, err, kvapi.ErrNotFound)
		e, err := c.Put(ctx, kvapi.Write{Key: "a", Value: []byte("1"), IfVersion: kvapi.IfAbsent})
		want(t, err, nil)
		_, err = c.Put(ctx, kvapi.Write{Key: "a", IfVersion: kvapi.IfAbsent})
		want(t, err, kvapi.ErrConflict)
		_, err = c.Put(ctx, kvapi.Write{Key: "a", IfVersion: kvapi.AnyVersion, LeaseID: "none"})
		want(t, err, kvapi.ErrLeaseNotFound)
		want(t, c.Delete(ctx, "a", e.Version+1), kvapi.ErrConflict)
		list, err := c.List(ctx, "", 10)
		want(t, err, nil)
		if len(list) != 1 || string(list[0].Value) != "1" {
			t.Errorf("list is %v", list)
		}
		want(t, c.Delete(ctx, "a", e.Version), nil)
		if got := c.Stats.KVCalls.Get("put").String(); got != "3" {
			t.Errorf("%s puts counted, want 3", got)
		}
	})
}

// TestLease guards against keys that outlive their lease or vanish while it is renewed.
func TestLease(t *testing.T) {
	bubble(t, new(kv.Store), func(t *testing.T, c *kvapi.Client) {
		ctx := t.Context()
		id, err := c.Grant(ctx, 10*time.Second)
		want(t, err, nil)
		e, err := c.Put(ctx, kvapi.Write{Key: "a", LeaseID: id})
		want(t, err, nil)
		time.Sleep(9 * time.Second)
		want(t, c.Renew(ctx, id), nil)
		time.Sleep(9 * time.Second)
		_, err = c.Get(ctx, "a")
		want(t, err, nil)
		start := time.Now()
		_, err = c.Watch(ctx, "a", e.Revision, time.Minute)
		want(t, err, kvapi.ErrNotFound)
		if d := time.Since(start); d != time.Second {
			t.Errorf("key went after %v, want 1 s", d)
		}
		want(t, c.Renew(ctx, id), kvapi.ErrLeaseNotFound)
	})
}

// TestWatch guards against a watch that misses a write or lasts longer than its wait.
func TestWatch(t *testing.T) {
	bubble(t, new(kv.Store), func(t *testing.T, c *kvapi.Client) {
		ctx := t.Context()
		_, err := c.Watch(ctx, "a", 0, 5*time.Second)
		want(t, err, kvapi.ErrNoChange)
		go func() {
			time.Sleep(time.Second)
			_, _ = c.Put(ctx, kvapi.Write{Key: "a", Value: []byte("1")})
		}()
		e, err := c.Watch(ctx, "a", 0, 5*time.Second)
		want(t, err, nil)
		if string(e.Value) != "1" {
			t.Errorf("watch returned %q", e.Value)
		}
	})
}

// TestLostAnswer guards against a write that took effect without an answer and is reported as refused or sent again.
func TestLostAnswer(t *testing.T) {
	s := new(kv.Store)
	bubble(t, s, func(t *testing.T, c *kvapi.Client) {
		cases := []struct {
			name    string
			plan    fault.Spec
			written bool
		}{
			{"lost after the effect", fault.Spec{DropResponse: true, Path: "/v1/put"}, true},
			{"lost before the effect", fault.Spec{DropRequest: true, Path: "/v1/put"}, false},
			{"frozen", fault.Spec{Freeze: true, Path: "/v1/put"}, false},
		}
		for i, tc := range cases {
			ctx := t.Context()
			// The earlier call leaves an idle connection, on which net/http replays what it may.
			_, _ = c.Get(ctx, "a")
			s.Fault.Set(tc.plan)
			_, err := c.Put(ctx, kvapi.Write{Key: tc.name, IfVersion: kvapi.IfAbsent})
			want(t, err, kvapi.ErrOutcomeUnknown)
			_, err = c.Get(ctx, tc.name)
			if written := err == nil; written != tc.written {
				t.Errorf("%s: written is %v, want %v", tc.name, written, tc.written)
			}
			if got := s.Fault.Requests("/v1/put"); got != i+1 {
				t.Errorf("%s: %d puts arrived, want %d", tc.name, got, i+1)
			}
		}
	})
}

// TestLimits guards against a rate limit that is reported as no answer.
func TestLimits(t *testing.T) {
	bubble(t, &kv.Store{WritesPerS: 2}, func(t *testing.T, c *kvapi.Client) {
		for _, target := range []error{nil, nil, kvapi.ErrRateLimited} {
			_, err := c.Put(context.Background(), kvapi.Write{Key: "a", IfVersion: kvapi.AnyVersion})
			want(t, err, target)
		}
	})
}

// TestBadAnswers guards against an indefinite answer that passes for a missing key, a refusal or an empty list.
func TestBadAnswers(t *testing.T) {
	const js = "application/json"
	cases := []struct {
		name, kind, body string
		status           int
	}{
		{"404 of another server", "text/plain", "not found", 404},
		{"404 without the code", js, `{}`, 404},
		{"code without the status", js, `{"code":"conflict"}`, 500},
		{"truncated", js, `{"key":"a","value":"AA`, 200},
		{"wrong type", js, `{"key":"a","version":"1","revision":1,"entries":{}}`, 200},
		{"another key", js, `{"key":"b","version":1,"revision":1,"entries":[{"key":"b","version":1}]}`, 200},
		{"oversized", js, strings.Repeat(" ", 17<<20) + `{"entries":[]}`, 200},
	}
	for _, tc := range cases {
		s := new(kv.Store)
		bubble(t, s, func(t *testing.T, c *kvapi.Client) {
			s.Fault.Set(fault.Spec{Response: &fault.Response{
				Status: tc.status, ContentType: tc.kind, Body: []byte(tc.body),
			}})
			_, err := c.Get(t.Context(), "a")
			want(t, err, kvapi.ErrOutcomeUnknown)
			_, err = c.List(t.Context(), "a", 0)
			want(t, err, kvapi.ErrOutcomeUnknown)
			_, err = c.Grant(t.Context(), time.Second)
			want(t, err, kvapi.ErrOutcomeUnknown)
		})
	}
}

// FuzzAnswers guards against an answer of a faulty service that panics the client or is taken for a good one.
func FuzzAnswers(f *testing.F) {
	f.Fuzz(func(t *testing.T, status uint16, kind string, body []byte) {
		var n memnet.Net
		s := new(kv.Store)
		defer n.Serve("kv:80", s)()
		s.Fault.Set(fault.Spec{Response: &fault.Response{Status: 200 + int(status%400), ContentType: kind, Body: body}})
		c := &kvapi.Client{URL: "http://kv:80", HTTP: xhttp.Client{Dial: n.Dial}}
		defer c.Close()
		ctx := context.Background()
		if e, err := c.Get(ctx, "a"); err == nil && (e.Key != "a" || e.Version < 1) {
			t.Errorf("entry %+v from %q", e, body)
		}
		if l, err := c.List(ctx, "a", 9); err == nil && l == nil {
			t.Errorf("no list from %q", body)
		}
		if id, err := c.Grant(ctx, time.Second); err == nil && id == "" {
			t.Errorf("lease without id from %q", body)
		}
	})
}
