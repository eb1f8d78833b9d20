package engine_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/emul/fault"
	"github.com/figreel/figreel/internal/emul/memnet"
	"github.com/figreel/figreel/internal/emul/model"
	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/xhttp"
)

const (
	base = "http://e1:80"
	item = "m@1"
)

var call = engine.Call{AttemptID: "a1", Model: item, Prompt: "one two", MaxTokens: 4, Seed: 7}

// withEngine runs f in a synctest bubble with a client of engine emulator e, on which the model of call is resident.
func withEngine(t *testing.T, e *model.Engine, f func(t *testing.T, c *engine.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var n memnet.Net
		defer n.Serve("e1:80", e)()
		c := &engine.Client{HTTP: xhttp.Client{Dial: n.Dial}}
		e.StepTime, e.MemoryMB = 10*time.Millisecond, 100
		o := engine.Order{ID: "o1", Kind: engine.LoadModel, Item: item, MemoryMB: 60, Fence: 1}
		if r, err := c.SendOrder(t.Context(), base, o); err != nil || !r.Applied {
			t.Fatalf("load: %+v, %v", r, err)
		}
		synctest.Wait()
		f(t, c)
	})
}

// collect returns the tokens of an attempt and the error that ended its stream, which is io.EOF after the final event.
func collect(ctx context.Context, c *engine.Client, call engine.Call) (tokens []string, err error) {
	s, err := c.Generate(ctx, base, call)
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }()
	for {
		ev, err := s.Next(ctx)
		if err != nil {
			return tokens, err
		}
		if !ev.Final {
			tokens = append(tokens, ev.Token)
		}
	}
}

// TestResume guards against a resumed stream whose tokens differ from those of a stream without interruption.
func TestResume(t *testing.T) {
	e := new(model.Engine)
	withEngine(t, e, func(t *testing.T, c *engine.Client) {
		complete, err := collect(t.Context(), c, call)
		if err != io.EOF || len(complete) != 4 {
			t.Fatalf("got %v, %v", complete, err)
		}
		e.Fault.Set(fault.Spec{Path: "/v1/generate", CutAfterWrites: 3, Count: 1})
		partial, err := collect(t.Context(), c, call)
		if !errors.Is(err, engine.ErrTruncated) || len(partial) != 2 {
			t.Fatalf("truncated stream gave %v, %v", partial, err)
		}
		resumed := call
		resumed.DeliveredTokens = partial
		rest, err := collect(t.Context(), c, resumed)
		if got := strings.Join(append(partial, rest...), ""); err != io.EOF || got != strings.Join(complete, "") {
			t.Errorf("resumed stream is %q, %v, want %q", got, err, complete)
		}
	})
}

// TestWrongAttempt guards against tokens of another attempt that are accepted as this attempt's.
func TestWrongAttempt(t *testing.T) {
	e := new(model.Engine)
	withEngine(t, e, func(t *testing.T, c *engine.Client) {
		e.Fault.Set(fault.Spec{Path: "/v1/generate", WrongAttempt: true})
		if got, err := collect(t.Context(), c, call); !errors.Is(err, engine.ErrWrongAttempt) || got != nil {
			t.Errorf("got %v, %v, want ErrWrongAttempt", got, err)
		}
	})
}

// TestSendError guards against a SendError that reports wrongly whether the attempt was executed.
func TestSendError(t *testing.T) {
	cases := []struct {
		name        string
		url         string
		model       string
		spec        fault.Spec
		leave       bool
		notExecuted bool
		leaving     bool
		requests    int
		hold        time.Duration
	}{
		{name: "no listener", url: "http://e2:80", notExecuted: true},
		{name: "request read, connection dropped", spec: fault.Spec{DropRequest: true}, requests: 1},
		{name: "response lost", spec: fault.Spec{DropResponse: true}, requests: 1},
		{name: "no response in time", spec: fault.Spec{Freeze: true}, requests: 1},
		{name: "model not resident", model: "other@1", notExecuted: true, requests: 1},
		{
			name: "asks for a pause", spec: fault.Spec{RetryAfter: "1.5"}, notExecuted: true, requests: 1,
			hold: 1500 * time.Millisecond,
		},
		{
			name: "asks for a pause that is no time", spec: fault.Spec{RetryAfter: "later"}, notExecuted: true,
			requests: 1,
		},
		{name: "leaving", leave: true, notExecuted: true, leaving: true, requests: 1},
	}
	for _, tc := range cases {
		e := new(model.Engine)
		withEngine(t, e, func(t *testing.T, c *engine.Client) {
			e.Fault.Set(tc.spec)
			if tc.leave {
				e.Leave()
			}
			in := call
			if tc.model != "" {
				in.Model = tc.model
			}
			url := base
			if tc.url != "" {
				url = tc.url
			}
			_, err := c.Generate(t.Context(), url, in)
			var se *engine.SendError
			if !errors.As(err, &se) || se.NotExecuted != tc.notExecuted || se.Leaving != tc.leaving ||
				se.Hold != tc.hold {
				t.Errorf("%s: got %+v", tc.name, err)
			}
			if got := e.Fault.Requests("/v1/generate"); got != tc.requests {
				t.Errorf("%s: %d requests arrived, want %d", tc.name, got, tc.requests)
			}
		})
	}
}

// TestCancel guards against an engine that continues an attempt whose stream was closed, and against an event that is
// lost when the context of Next ends early.
func TestCancel(t *testing.T) {
	e := new(model.Engine)
	withEngine(t, e, func(t *testing.T, c *engine.Client) {
		s, err := c.Generate(t.Context(), base, call)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		if _, err := s.Next(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("Next before the first token: %v", err)
		}
		if ev, err := s.Next(t.Context()); err != nil || ev.Index != 0 {
			t.Errorf("Next after one whose context ended: %+v, %v", ev, err)
		}
		_ = s.Close()
		synctest.Wait()
		if a := e.Record().Attempts[0]; !a.Cancelled {
			t.Errorf("attempt is %+v, want cancelled", a)
		}
	})
}

// TestFencingAndOvercommit guards against an engine emulator that hides an overcommit of memory, or that accepts an
// order with an old fencing token although it checks fencing.
func TestFencingAndOvercommit(t *testing.T) {
	e := &model.Engine{ChecksFencing: true, UnloadTime: time.Second}
	withEngine(t, e, func(t *testing.T, c *engine.Client) {
		ctx := t.Context()
		_, _ = c.SendOrder(ctx, base, engine.Order{ID: "o2", Kind: engine.UnloadModel, Item: item, Fence: 3})
		r, err := c.SendOrder(ctx, base, engine.Order{ID: "o3", Kind: engine.LoadModel, Item: "n@1", MemoryMB: 60, Fence: 2})
		if err != nil || r.Applied || r.Fence != 3 {
			t.Errorf("old order: %+v, %v", r, err)
		}
		_, _ = c.SendOrder(ctx, base, engine.Order{ID: "o4", Kind: engine.LoadModel, Item: "n@1", MemoryMB: 60, Fence: 3})
		if got := e.Record(); got.WorstOvercommitMB != 20 || got.Overcommits != 1 {
			t.Errorf("record is %+v, want an overcommit of 20 MB", got)
		}
		time.Sleep(2 * time.Second)
		before, err := c.Status(ctx, base)
		if err != nil || before.UsedMB != 60 || len(before.Items) != 1 || before.Items[0].State != engine.Resident {
			t.Errorf("status is %+v, %v", before, err)
		}
		e.Restart()
		after, err := c.Status(ctx, base)
		if err != nil || after.BootID == before.BootID || len(after.Items) != 0 {
			t.Errorf("status after the restart is %+v, %v", after, err)
		}
	})
}

// TestInvalidResponses guards against a truncated, oversized or wrongly typed response that is accepted as valid.
func TestInvalidResponses(t *testing.T) {
	const sse, js = "text/event-stream", "application/json"
	first := `data: {"attempt_id":"a1","index":0,"token":"x"}` + "\n\n"
	generate := func(c *engine.Client) error { _, err := collect(context.Background(), c, call); return err }
	send := func(c *engine.Client) error {
		_, err := c.SendOrder(context.Background(), base, engine.Order{})
		return err
	}
	status := func(c *engine.Client) error { _, err := c.Status(context.Background(), base); return err }
	cases := []struct {
		name, contentType, body, want string
		do                            func(*engine.Client) error
	}{
		{"no final event", sse, first, engine.ErrTruncated.Error(), generate},
		{"truncated inside an event", sse, first + `data: {"attempt_id":"a1","ind`, engine.ErrTruncated.Error(), generate},
		{"oversized event", sse, "data: " + strings.Repeat(" ", 1<<17) + "\n", "longer than", generate},
		{"wrong type", sse, "data: {\"attempt_id\":1}\n\n", "cannot unmarshal", generate},
		{"no index", sse, "data: {\"attempt_id\":\"a1\"}\n\n", "no valid index", generate},
		{"no stream", js, `{}`, "content type", generate},
		{"status without items", js, `{"boot_id":"b"}`, "0 items", status},
		{"negative memory", js, `{"boot_id":"b","items":[{"name":"m","state":"resident","memory_mb":-1}]}`, "-1 MB", status},
		{"unknown state", js, `{"boot_id":"b","items":[{"name":"m","state":"new"}]}`, `state "new"`, status},
		{"order without result", js, `{"boot_id":"b"}`, "whether the order was applied", send},
		{"truncated order result", js, `{"boot_id":"b","appl`, "unexpected end", send},
	}
	for _, tc := range cases {
		e := new(model.Engine)
		withEngine(t, e, func(t *testing.T, c *engine.Client) {
			e.Fault.Set(fault.Spec{Response: &fault.Response{Status: 200, ContentType: tc.contentType, Body: []byte(tc.body)}})
			if err := tc.do(c); err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("%s: got %v, want %q", tc.name, err, tc.want)
			}
		})
	}
}

// FuzzAnswers guards against a response of a faulty engine that makes the client panic, or that is accepted although
// it is invalid.
func FuzzAnswers(f *testing.F) {
	f.Fuzz(func(t *testing.T, status uint16, contentType string, body []byte) {
		var n memnet.Net
		e := new(model.Engine)
		defer n.Serve("e1:80", e)()
		response := &fault.Response{Status: 200 + int(status%400), ContentType: contentType, Body: body}
		e.Fault.Set(fault.Spec{Response: response})
		c := &engine.Client{HTTP: xhttp.Client{Dial: n.Dial}}
		ctx := context.Background()
		tokens, err := collect(ctx, c, call)
		if err == io.EOF && response.Status != http.StatusOK {
			t.Errorf("stream of %q with status %d ended without an error after %v", body, response.Status, tokens)
		}
		if st, err := c.Status(ctx, base); err == nil && (st.BootID == "" || st.Items == nil) {
			t.Errorf("status without boot id or items from %q", body)
		}
		if r, err := c.SendOrder(ctx, base, engine.Order{}); err == nil && r.BootID == "" {
			t.Errorf("order result without a boot id from %q", body)
		}
	})
}
