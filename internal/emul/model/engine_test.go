package model_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/figreel/figreel/internal/emul/memnet"
	"github.com/figreel/figreel/internal/emul/model"
	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/xhttp"
)

const base = "http://e:80"

// bubble runs f on virtual time with an engine that has model m@1.
func bubble(t *testing.T, e *model.Engine, f func(t *testing.T, c *engine.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var n memnet.Net
		defer n.Serve("e:80", e)()
		c := &engine.Client{HTTP: xhttp.Client{Dial: n.Dial}}
		if _, err := c.SendOrder(t.Context(), base, engine.Order{Kind: engine.LoadModel, Item: "m@1"}); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		f(t, c)
	})
}

// begin starts an attempt and returns a function that waits for its end and tells how long it took.
func begin(t *testing.T, c *engine.Client, call engine.Call) func() time.Duration {
	t.Helper()
	call.Model = "m@1"
	start := time.Now()
	s, err := c.Generate(t.Context(), base, call)
	if err != nil {
		t.Fatal(err)
	}
	took := make(chan time.Duration, 1)
	go func() {
		var err error
		for err == nil {
			_, err = s.Next(context.Background())
		}
		if err != io.EOF {
			t.Error(err)
		}
		took <- time.Since(start)
	}()
	synctest.Wait()
	return func() time.Duration { return <-took }
}

// TestBatch guards against an engine whose batch costs nothing, or that ignores priorities.
func TestBatch(t *testing.T) {
	e := &model.Engine{StepTime: 10 * time.Millisecond, SeqTime: time.Millisecond, MaxSeqs: 1}
	bubble(t, e, func(t *testing.T, c *engine.Client) {
		first := begin(t, c, engine.Call{MaxTokens: 10})
		late := begin(t, c, engine.Call{MaxTokens: 10, Priority: 2})
		soon := begin(t, c, engine.Call{MaxTokens: 10, Priority: 1})
		for i, got := range []time.Duration{first(), soon(), late()} {
			if want := time.Duration(i+1) * 110 * time.Millisecond; got != want {
				t.Errorf("answer %d took %v, want %v", i, got, want)
			}
		}
	})
	e = &model.Engine{StepTime: 10 * time.Millisecond, SeqTime: time.Millisecond}
	bubble(t, e, func(t *testing.T, c *engine.Client) {
		// The second sequence joins in the second iteration.
		first, second := begin(t, c, engine.Call{MaxTokens: 2}), begin(t, c, engine.Call{MaxTokens: 1})
		if got, want := first(), 23*time.Millisecond; got != want || second() != want {
			t.Errorf("shared batch took %v, want %v", got, want)
		}
	})
}

// TestPrefixCache guards against a cache that saves nothing, or that has no limit.
func TestPrefixCache(t *testing.T) {
	e := &model.Engine{PrefillTime: time.Millisecond, CacheBlocks: 2, CacheLag: time.Second}
	bubble(t, e, func(t *testing.T, c *engine.Client) {
		long := strings.Repeat("a ", 32)
		steps := []struct {
			prompt string
			want   time.Duration
		}{
			{long, 32 * time.Millisecond},
			{long + "b", time.Millisecond},
			{strings.Repeat("c ", 32), 32 * time.Millisecond},
			{long, 32 * time.Millisecond},
		}
		for i, s := range steps {
			if got := begin(t, c, engine.Call{Prompt: s.prompt, MaxTokens: 1})(); got != s.want {
				t.Errorf("answer %d took %v, want %v", i, got, s.want)
			}
		}
	})
}

// TestCacheEvents guards against events that are early or complete, and an export that the import does not take.
func TestCacheEvents(t *testing.T) {
	e := &model.Engine{PrefillTime: time.Millisecond, CacheBlocks: 100, CacheLag: time.Second}
	bubble(t, e, func(t *testing.T, c *engine.Client) {
		prompt := strings.Repeat("a ", 16*12)
		begin(t, c, engine.Call{Prompt: prompt, MaxTokens: 1})()
		var events struct {
			Events []model.CacheEvent `json:"events"`
		}
		for _, want := range []int{0, 11} {
			ask(t, c, "/v1/cache/events?since=0", nil, &events)
			if len(events.Events) != want {
				t.Errorf("%d events, want %d", len(events.Events), want)
			}
			time.Sleep(2 * time.Second)
		}
		var blocks any
		ask(t, c, "/v1/kv/export", map[string]string{"model": "m@1", "prompt": prompt}, &blocks)
		e.Restart()
		if _, err := c.SendOrder(t.Context(), base, engine.Order{Kind: engine.LoadModel, Item: "m@1"}); err != nil {
			t.Fatal(err)
		}
		ask(t, c, "/v1/kv/import", blocks, new(any))
		if got := begin(t, c, engine.Call{Prompt: prompt, MaxTokens: 1})(); got != 0 {
			t.Errorf("prefill after the import took %v, want none", got)
		}
	})
}

// ask posts in to the engine and decodes its answer into out.
func ask(t *testing.T, c *engine.Client, path string, in, out any) {
	t.Helper()
	r, err := xhttp.NewRequest(t.Context(), http.MethodPost, base+path, in)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := c.HTTP.DoNewConn(r)
	if err == nil {
		err = xhttp.DecodeJSON(resp, 1<<20, out)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// TestLag guards against load figures that are newer than the engine claims.
func TestLag(t *testing.T) {
	e := &model.Engine{StepTime: 100 * time.Millisecond, LoadLag: 2 * time.Second}
	bubble(t, e, func(t *testing.T, c *engine.Client) {
		wait := begin(t, c, engine.Call{MaxTokens: 30})
		for i, want := range []int{0, 0, 1, 1, 1, 0} {
			st, err := c.Status(t.Context(), base)
			if err != nil || st.Running != want {
				t.Errorf("after %d s: %d running, %v, want %d", i, st.Running, err, want)
			}
			time.Sleep(time.Second)
		}
		wait()
	})
}
