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

// runWithEngine runs f on virtual time with engine e, after model m@1 was loaded.
func runWithEngine(t *testing.T, e *model.Engine, f func(t *testing.T, c *engine.Client)) {
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

// startCall starts an attempt and returns a function that waits for its end and returns its duration.
func startCall(t *testing.T, c *engine.Client, call engine.Call) func() time.Duration {
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

// TestBatch guards against a batch whose size does not affect the duration of an iteration, and a queue that ignores
// priorities.
func TestBatch(t *testing.T) {
	e := &model.Engine{StepTime: 10 * time.Millisecond, SeqTime: time.Millisecond, MaxSeqs: 1}
	runWithEngine(t, e, func(t *testing.T, c *engine.Client) {
		first := startCall(t, c, engine.Call{MaxTokens: 10})
		low := startCall(t, c, engine.Call{MaxTokens: 10, Priority: 2})
		high := startCall(t, c, engine.Call{MaxTokens: 10, Priority: 1})
		for i, got := range []time.Duration{first(), high(), low()} {
			if want := time.Duration(i+1) * 110 * time.Millisecond; got != want {
				t.Errorf("response %d took %v, want %v", i, got, want)
			}
		}
	})
	e = &model.Engine{StepTime: 10 * time.Millisecond, SeqTime: time.Millisecond}
	runWithEngine(t, e, func(t *testing.T, c *engine.Client) {
		// The second sequence joins the batch in the second iteration: 11 ms for the first one, then 12 ms.
		first, second := startCall(t, c, engine.Call{MaxTokens: 2}), startCall(t, c, engine.Call{MaxTokens: 1})
		if got, want := first(), 23*time.Millisecond; got != want || second() != want {
			t.Errorf("shared batch took %v, want %v", got, want)
		}
	})
}

// TestPrefixCache guards against a prefix cache that does not save prefill time, or that never evicts.
func TestPrefixCache(t *testing.T) {
	e := &model.Engine{PrefillTime: time.Millisecond, CacheBlocks: 2, CacheLag: time.Second}
	runWithEngine(t, e, func(t *testing.T, c *engine.Client) {
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
			if got := startCall(t, c, engine.Call{Prompt: s.prompt, MaxTokens: 1})(); got != s.want {
				t.Errorf("response %d took %v, want %v", i, got, s.want)
			}
		}
	})
}

// TestCacheEvents guards against cache events that are published before CacheLag or without losses (the tenth of 12
// events is lost), and against an import that does not accept an export.
func TestCacheEvents(t *testing.T) {
	e := &model.Engine{PrefillTime: time.Millisecond, CacheBlocks: 100, CacheLag: time.Second}
	runWithEngine(t, e, func(t *testing.T, c *engine.Client) {
		prompt := strings.Repeat("a ", 16*12)
		startCall(t, c, engine.Call{Prompt: prompt, MaxTokens: 1})()
		var events struct {
			Events []model.CacheEvent `json:"events"`
		}
		for _, want := range []int{0, 11} {
			post(t, c, "/v1/cache/events?since=0", nil, &events)
			if len(events.Events) != want {
				t.Errorf("%d events, want %d", len(events.Events), want)
			}
			time.Sleep(2 * time.Second)
		}
		var blocks any
		post(t, c, "/v1/kv/export", map[string]string{"model": "m@1", "prompt": prompt}, &blocks)
		e.Restart()
		if _, err := c.SendOrder(t.Context(), base, engine.Order{Kind: engine.LoadModel, Item: "m@1"}); err != nil {
			t.Fatal(err)
		}
		post(t, c, "/v1/kv/import", blocks, new(any))
		if got := startCall(t, c, engine.Call{Prompt: prompt, MaxTokens: 1})(); got != 0 {
			t.Errorf("prefill after the import took %v, want none", got)
		}
	})
}

// post sends in to the engine as JSON and decodes the response into out.
func post(t *testing.T, c *engine.Client, path string, in, out any) {
	t.Helper()
	r, err := xhttp.NewRequest(t.Context(), http.MethodPost, base+path, in)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := c.HTTP.Do(r)
	if err == nil {
		err = xhttp.DecodeJSON(resp, 1<<20, out)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// TestLoadLag guards against a status report whose load metrics are newer than LoadLag.
func TestLoadLag(t *testing.T) {
	e := &model.Engine{StepTime: 100 * time.Millisecond, LoadLag: 2 * time.Second}
	runWithEngine(t, e, func(t *testing.T, c *engine.Client) {
		wait := startCall(t, c, engine.Call{MaxTokens: 30})
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
