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

// withStore runs f in a synctest bubble with a client of the emulated store s.
func withStore(t *testing.T, s *kv.Store, f func(t *testing.T, c *kvapi.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var n memnet.Net
		defer n.Serve("kv:80", s)()
		c := &kvapi.Client{URL: "http://kv:80", Stats: new(stats.Set), HTTP: xhttp.Client{Dial: n.Dial}}
		f(t, c)
	})
}

func wantErr(t *testing.T, err, target error) {
	t.Helper()
	if !errors.Is(err, target) {
		t.Errorf("got error %v, want %v", err, target)
	}
}

// TestVersionConditions guards against lost updates, and against definite responses reported as an unknown outcome.
func TestVersionConditions(t *testing.T) {
	withStore(t, new(kv.Store), func(t *testing.T, c *kvapi.Client) {
		ctx := t.Context()
		_, err := c.Get(ctx, "a")
		wantErr(t, err, kvapi.ErrNotFound)
		e, err := c.Put(ctx, kvapi.Write{Key: "a", Value: []byte("1"), IfVersion: kvapi.IfAbsent})
		wantErr(t, err, nil)
		_, err = c.Put(ctx, kvapi.Write{Key: "a", IfVersion: kvapi.IfAbsent})
		wantErr(t, err, kvapi.ErrConflict)
		_, err = c.Put(ctx, kvapi.Write{Key: "a", IfVersion: kvapi.AnyVersion, LeaseID: "none"})
		wantErr(t, err, kvapi.ErrLeaseNotFound)
		wantErr(t, c.Delete(ctx, "a", e.Version+1), kvapi.ErrConflict)
		list, err := c.List(ctx, "", 10)
		wantErr(t, err, nil)
		if len(list) != 1 || string(list[0].Value) != "1" {
			t.Errorf("list is %v", list)
		}
		wantErr(t, c.Delete(ctx, "a", e.Version), nil)
		if got := c.Stats.KVCalls.Get("put").String(); got != "3" {
			t.Errorf("%s puts counted, want 3", got)
		}
	})
}

// TestLease guards against keys that outlive their lease or are deleted although it is renewed.
func TestLease(t *testing.T) {
	withStore(t, new(kv.Store), func(t *testing.T, c *kvapi.Client) {
		ctx := t.Context()
		id, err := c.Grant(ctx, 10*time.Second)
		wantErr(t, err, nil)
		e, err := c.Put(ctx, kvapi.Write{Key: "a", LeaseID: id})
		wantErr(t, err, nil)
		time.Sleep(9 * time.Second)
		wantErr(t, c.Renew(ctx, id), nil)
		time.Sleep(9 * time.Second)
		_, err = c.Get(ctx, "a")
		wantErr(t, err, nil)
		start := time.Now()
		_, err = c.Watch(ctx, "a", e.Revision, time.Minute)
		wantErr(t, err, kvapi.ErrNotFound)
		if d := time.Since(start); d != time.Second {
			t.Errorf("key was deleted after %v, want 1 s", d)
		}
		wantErr(t, c.Renew(ctx, id), kvapi.ErrLeaseNotFound)
	})
}

// TestWatch guards against a watch that misses a write or does not end after its wait.
func TestWatch(t *testing.T) {
	withStore(t, new(kv.Store), func(t *testing.T, c *kvapi.Client) {
		ctx := t.Context()
		_, err := c.Watch(ctx, "a", 0, 5*time.Second)
		wantErr(t, err, kvapi.ErrNoChange)
		go func() {
			time.Sleep(time.Second)
			_, _ = c.Put(ctx, kvapi.Write{Key: "a", Value: []byte("1")})
		}()
		e, err := c.Watch(ctx, "a", 0, 5*time.Second)
		wantErr(t, err, nil)
		if string(e.Value) != "1" {
			t.Errorf("watch returned %q", e.Value)
		}
	})
}

// TestLostResponse guards against a write whose response is lost and that is reported as rejected or is sent again.
func TestLostResponse(t *testing.T) {
	s := new(kv.Store)
	withStore(t, s, func(t *testing.T, c *kvapi.Client) {
		cases := []struct {
			name    string
			spec    fault.Spec
			written bool
		}{
			{"lost after execution", fault.Spec{DropResponse: true, Path: "/v1/put"}, true},
			{"lost before execution", fault.Spec{DropRequest: true, Path: "/v1/put"}, false},
			{"frozen", fault.Spec{Freeze: true, Path: "/v1/put"}, false},
		}
		for i, tc := range cases {
			ctx := t.Context()
			// The earlier call leaves an idle connection; on such a connection net/http may retry a request by itself.
			_, _ = c.Get(ctx, "a")
			s.Fault.Set(tc.spec)
			_, err := c.Put(ctx, kvapi.Write{Key: tc.name, IfVersion: kvapi.IfAbsent})
			wantErr(t, err, kvapi.ErrOutcomeUnknown)
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

// TestRateLimit guards against a rejection by the rate limit that is reported as an unknown outcome.
func TestRateLimit(t *testing.T) {
	withStore(t, &kv.Store{WritesPerS: 2}, func(t *testing.T, c *kvapi.Client) {
		for _, target := range []error{nil, nil, kvapi.ErrRateLimited} {
			_, err := c.Put(context.Background(), kvapi.Write{Key: "a", IfVersion: kvapi.AnyVersion})
			wantErr(t, err, target)
		}
	})
}

// TestInvalidResponses guards against an invalid response taken for a missing key, a rejection or an empty list.
func TestInvalidResponses(t *testing.T) {
	const js = "application/json"
	cases := []struct {
		name, contentType, body string
		status                  int
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
		withStore(t, s, func(t *testing.T, c *kvapi.Client) {
			s.Fault.Set(fault.Spec{Response: &fault.Response{
				Status: tc.status, ContentType: tc.contentType, Body: []byte(tc.body),
			}})
			_, err := c.Get(t.Context(), "a")
			wantErr(t, err, kvapi.ErrOutcomeUnknown)
			_, err = c.List(t.Context(), "a", 0)
			wantErr(t, err, kvapi.ErrOutcomeUnknown)
			_, err = c.Grant(t.Context(), time.Second)
			wantErr(t, err, kvapi.ErrOutcomeUnknown)
		})
	}
}

// FuzzAnswers guards against a response of a faulty service that makes the client panic, or that is accepted although
// it is invalid.
func FuzzAnswers(f *testing.F) {
	f.Fuzz(func(t *testing.T, status uint16, contentType string, body []byte) {
		var n memnet.Net
		s := new(kv.Store)
		defer n.Serve("kv:80", s)()
		s.Fault.Set(fault.Spec{Response: &fault.Response{
			Status: 200 + int(status%400), ContentType: contentType, Body: body,
		}})
		c := &kvapi.Client{URL: "http://kv:80", HTTP: xhttp.Client{Dial: n.Dial}}
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
