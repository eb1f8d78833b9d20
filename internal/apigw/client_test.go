package apigw_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/figreel/figreel/internal/apigw"
	"github.com/figreel/figreel/internal/emul/fault"
	"github.com/figreel/figreel/pkg/answer"
)

const (
	chatBody = `{"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":5,"seed":3}`
	chatText = "user: hello\n"
	textBody = `{"model":"m","prompt":"hello","max_tokens":5,"seed":3}`
)

// runInBubble runs f in a synctest bubble (virtual time) with a system of two engines, two services and two hosts.
func runInBubble(t *testing.T, f func(t *testing.T, s *system, hosts []*host)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s, hosts := newSystem(t, 2, 2, 2)
		f(t, s, hosts)
		s.close()
		// Background writes, and connections that stay open after an error, end within this time.
		time.Sleep(10 * time.Minute)
	})
}

// withFields adds fields to a JSON object.
func withFields(body string, fields string) string {
	return strings.TrimSuffix(body, "}") + "," + fields + "}"
}

// TestGenerations guards against responses that a standard OpenAI client can't read, and against text that was
// generated for another prompt or by another model.
func TestGenerations(t *testing.T) {
	const stream, usage = `"stream":true`, `"stream_options":{"include_usage":true}`
	parts := strings.Replace(chatBody, `"hello"`, `[{"type":"text","text":"hello"}]`, 1)
	tests := []struct {
		name, path, body string
		header           map[string]string
		want             string
		bodyHas          []string // substrings of the body
	}{
		{"chat", "chat/completions", chatBody, nil, expectedText(modelItem, "", chatText, 3, 5), []string{
			`"object":"chat.completion"`, `"role":"assistant"`,
			`"usage":{"prompt_tokens":2,"completion_tokens":5,"total_tokens":7}`,
		}},
		{
			"chat streamed", "chat/completions", withFields(chatBody, stream), nil,
			expectedText(modelItem, "", chatText, 3, 5),
			[]string{`"object":"chat.completion.chunk"`, `"delta":{"role":"assistant"`, "data: [DONE]\n\n"},
		},
		{
			"chat streamed with usage", "chat/completions", withFields(chatBody, stream+","+usage), nil,
			expectedText(modelItem, "", chatText, 3, 5),
			[]string{`"choices":[],"usage":{"prompt_tokens":2,"completion_tokens":5,`},
		},
		{"message in parts", "chat/completions", parts, nil, expectedText(modelItem, "", chatText, 3, 5), nil},
		{"completion", "completions", textBody, nil, expectedText(modelItem, "", "hello", 3, 5), []string{
			`"object":"text_completion"`, `"model":"m"`,
		}},
		{
			"completion streamed", "completions", withFields(textBody, stream), nil,
			expectedText(modelItem, "", "hello", 3, 5),
			[]string{"[DONE]"},
		},
		{
			"adapter", "completions", strings.Replace(textBody, `"m"`, `"ad"`, 1), nil,
			expectedText(modelItem, adapterItem, "hello", 3, 5),
			[]string{`"model":"ad"`},
		},
		{
			"newer limit field", "completions",
			strings.Replace(textBody, "max_tokens", "max_completion_tokens", 1), nil,
			expectedText(modelItem, "", "hello", 3, 5), nil,
		},
		{
			"class and deadline", "completions", textBody,
			map[string]string{"X-Figreel-Class": "batch", "X-Figreel-Deadline-Ms": "5000"},
			expectedText(modelItem, "", "hello", 3, 5), nil,
		},
		{
			"non-idempotent by header", "completions", textBody,
			map[string]string{"X-Figreel-Not-Repeatable": "true"},
			expectedText(modelItem, "", "hello", 3, 5), nil,
		},
	}
	runInBubble(t, func(t *testing.T, s *system, hosts []*host) {
		for _, tt := range tests {
			r := s.do(t.Context(), hosts[0], request{path: "/v1/" + tt.path, body: tt.body, header: tt.header})
			text, finish, err := r.text()
			if err != nil || text != tt.want || finish != "length" {
				t.Errorf("%s: got %q, %q, %v, want %q", tt.name, text, finish, err, tt.want)
			}
			for _, part := range tt.bodyHas {
				if !strings.Contains(string(r.body), part) {
					t.Errorf("%s: %s is not in %s", tt.name, part, r.body)
				}
			}
			if r.header.Get("X-Request-Id") == "" {
				t.Errorf("%s: response has no request id", tt.name)
			}
		}
	})
}

// TestRejections guards against invalid requests that cause a panic, hang, are executed, or get a response other than
// the JSON error with the right code and an outcome.
func TestRejections(t *testing.T) {
	long := strings.Repeat("k", 257)
	tests := []struct {
		name   string
		req    request
		status int
		code   string
	}{
		{"no key", request{path: generatePath, header: map[string]string{"Authorization": ""}}, 401, "unauthorized"},
		{
			"wrong key",
			request{path: generatePath, header: map[string]string{"Authorization": "Bearer x"}},
			401, "unauthorized",
		},
		{"unknown model", request{path: generatePath, body: `{"model":"x","prompt":"p"}`}, 404, "model_not_found"},
		{"unknown service", request{path: "/svc/none/x"}, 404, "service_not_found"},
		{"bad JSON", request{path: generatePath, body: `{`}, 400, "bad_json"},
		{
			"wrong type",
			request{path: generatePath, body: `{"model":"m","prompt":"p","max_tokens":"x"}`},
			400, "bad_json",
		},
		{"no prompt", request{path: generatePath, body: `{"model":"m"}`}, 400, "bad_prompt"},
		{"no messages", request{path: "/v1/chat/completions", body: `{"model":"m"}`}, 400, "bad_messages"},
		{
			"too many tokens",
			request{path: generatePath, body: `{"model":"m","prompt":"p","max_tokens":99999}`},
			400, "bad_max_tokens",
		},
		{"several choices", request{path: generatePath, body: withFields(textBody, `"n":2`)}, 400, "bad_n"},
		{"body too large", request{path: generatePath, body: strings.Repeat(" ", 65<<10)}, 413, "body_too_large"},
		{
			"unknown class",
			request{path: generatePath, body: textBody, header: map[string]string{"X-Figreel-Class": "x"}},
			400, "unknown_class",
		},
		{
			"bad deadline",
			request{path: generatePath, body: textBody, header: map[string]string{"X-Figreel-Deadline-Ms": "-1"}},
			400, "bad_header",
		},
		{
			"bad idempotency header",
			request{path: generatePath, body: textBody, header: map[string]string{"X-Figreel-Not-Repeatable": "2"}},
			400, "bad_header",
		},
		{
			"bad deadline of a service",
			request{path: "/svc/read/x", header: map[string]string{"X-Figreel-Deadline-Ms": "soon"}},
			400, "bad_header",
		},
		{"long key", request{path: "/svc/pay/x", header: map[string]string{"Idempotency-Key": long}}, 400, "key_too_long"},
		{"key required", request{path: "/svc/strict/x"}, 400, "key_required"},
		{"no upstream", request{path: "/svc/empty/x"}, 503, "no_upstream"},
		{"unknown path", request{path: "/v2/x"}, 404, "unknown_path"},
		{"wrong method", request{method: http.MethodGet, path: generatePath}, 405, "wrong_method"},
		{"path leaves its service", request{path: "/svc/read/../pay/x"}, 404, "unknown_path"},
	}
	runInBubble(t, func(t *testing.T, s *system, hosts []*host) {
		for _, tt := range tests {
			r := s.do(t.Context(), hosts[0], tt.req)
			if r.status != tt.status || r.err.Code != tt.code || r.err.Outcome == "" || r.err.Message == "" {
				t.Errorf("%s: got %d %s, want %d %s", tt.name, r.status, r.body, tt.status, tt.code)
			}
			if contentType := r.header.Get("Content-Type"); contentType != "application/json" {
				t.Errorf("%s: content type %q", tt.name, contentType)
			}
		}
		for i, e := range s.engines {
			if n := len(e.Record().Attempts) + len(s.services[i].Executions()); n != 0 {
				t.Errorf("%d rejected requests were executed", n)
			}
		}
	})
}

// TestLimits guards against a request body that never ends and holds its call, and against more calls in flight than
// MaxInFlight.
func TestLimits(t *testing.T) {
	runInBubble(t, func(t *testing.T, s *system, hosts []*host) {
		start := time.Now()
		c, err := s.net.Dial(t.Context(), "tcp", "h1:80")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + secret +
			"\r\nContent-Length: 100\r\n\r\n{"))
		buf := make([]byte, 4096)
		n, _ := c.Read(buf)
		_ = c.Close()
		if got := string(buf[:n]); !strings.Contains(got, "body_unreadable") || time.Since(start) > time.Minute {
			t.Errorf("slow body: got %q after %s", got, time.Since(start))
		}

		hosts[0].MaxInFlight = 1
		s.services[0].WorkTime, s.services[1].WorkTime = time.Second, time.Second
		done := make(chan response)
		go func() { done <- s.do(t.Context(), hosts[0], request{path: "/svc/read/x"}) }()
		synctest.Wait()
		r := s.do(t.Context(), hosts[0], request{path: "/svc/read/y"})
		if r.err.Code != "host_overloaded" || r.err.Outcome != answer.NotRun || r.header.Get("Retry-After") == "" {
			t.Errorf("above the limit: %d %s", r.status, r.body)
		}
		if first := <-done; first.status != http.StatusOK {
			t.Errorf("within the limit: %d %s", first.status, first.body)
		}
	})
}

// TestCallerStopsReading guards against a caller that stops reading the response and so keeps its call open after the
// deadline, which would also delay a graceful shutdown.
func TestCallerStopsReading(t *testing.T) {
	runInBubble(t, func(t *testing.T, s *system, hosts []*host) {
		c, err := s.net.Dial(t.Context(), "tcp", "h1:80")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		body := withFields(textBody, `"stream":true`)
		_, _ = c.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + secret +
			"\r\nX-Figreel-Deadline-Ms: 3000\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body))
		time.Sleep(time.Minute)
		if n := hosts[0].InFlight(); n != 0 {
			t.Errorf("%d calls in flight long after the deadline", n)
		}
	})
}

// itoa returns n in decimal form.
func itoa(n int) string {
	b, _ := json.Marshal(n)
	return string(b)
}

// TestServices guards against changes of the path, query, method or body of a request to a plain service.
func TestServices(t *testing.T) {
	tests := []struct{ path, wantPath string }{
		{"/svc/read/items?x=1&y=a%20b", "/items?x=1&y=a%20b"},
		{"/svc/read/a%2Fb%3Fc", "/a%2Fb%3Fc"},
		{"/svc/read/%2F", "/%2F"},
		{"/svc/read/", "/"},
		{"/svc/read", "/"},
		{"/svc/pay/charge?x=1", "/charge?x=1"},
	}
	runInBubble(t, func(t *testing.T, s *system, hosts []*host) {
		for _, tt := range tests {
			r := s.do(t.Context(), hosts[0], request{method: http.MethodPut, path: tt.path, body: "b"})
			var received struct{ Method, Path, Body string }
			if err := json.Unmarshal(r.body, &received); err != nil || r.status != http.StatusOK {
				t.Errorf("%s: %d %s", tt.path, r.status, r.body)
			}
			if received.Path != tt.wantPath || received.Method != http.MethodPut || received.Body != "b" {
				t.Errorf("%s: the service saw %+v, want path %s", tt.path, received, tt.wantPath)
			}
		}
	})
}

// TestTruncatedResponses guards against a truncated response that looks complete to its caller.
func TestTruncatedResponses(t *testing.T) {
	runInBubble(t, func(t *testing.T, s *system, hosts []*host) {
		for _, up := range s.services {
			up.Fault.Set(fault.Spec{CutAfterWrites: 1})
		}
		if r := s.do(t.Context(), hosts[0], request{method: http.MethodGet, path: "/svc/read/x"}); r.connErr == nil {
			t.Errorf("truncated response of a service looks complete: %d %q", r.status, r.body)
		}
		if r := s.do(t.Context(), hosts[0], request{path: "/svc/pay/x"}); r.err.Outcome != answer.Unknown {
			t.Errorf("truncated response to a non-idempotent request: %d %s", r.status, r.body)
		}
		for _, e := range s.engines {
			e.Fault.Set(fault.Spec{CutAfterWrites: 2})
		}
		r := s.do(t.Context(), hosts[0], request{
			path: "/v1/chat/completions", body: withFields(chatBody, `"stream":true`),
		})
		if _, _, err := r.streamText(); err == nil || !strings.Contains(err.Error(), "upstream_failed (failed)") {
			t.Errorf("stream that can't be completed ended with %v: %s", err, r.body)
		}
		if strings.Contains(string(r.body), "[DONE]") {
			t.Error("stream that can't be completed has [DONE]")
		}
		r = s.do(t.Context(), hosts[0], request{path: "/v1/chat/completions", body: chatBody})
		if r.status != http.StatusBadGateway || r.err.Outcome != answer.Failed {
			t.Errorf("response without streaming that can't be completed: %d %s", r.status, r.body)
		}
	})
}

// TestModelsHostsAndHealth guards against a model list without some names, a host list that is too long or in the wrong
// order, and a readiness check that ignores Server.Ready.
func TestModelsHostsAndHealth(t *testing.T) {
	runInBubble(t, func(t *testing.T, s *system, hosts []*host) {
		var models struct{ Data []struct{ ID string } }
		r := s.do(t.Context(), hosts[0], request{method: http.MethodGet, path: "/v1/models"})
		if err := json.Unmarshal(r.body, &models); err != nil || len(models.Data) != 3 || models.Data[0].ID != "ad" {
			t.Errorf("models: %s", r.body)
		}
		for path, domain := range map[string]string{"/v1/hosts": "fd1", "/v1/hosts?failure_domain=fd2": "fd2"} {
			var a struct {
				Hosts []apigw.Address
				KeepS int `json:"keep_s"`
			}
			r := s.do(t.Context(), hosts[0], request{method: http.MethodGet, path: path})
			err := json.Unmarshal(r.body, &a)
			if err != nil || len(a.Hosts) != 3 || a.Hosts[0].FailureDomain != domain || a.KeepS != 30 {
				t.Errorf("%s: %s", path, r.body)
			}
		}
		for path, ready := range map[string]bool{"/healthz": true, "/readyz": false} {
			hosts[0].Ready = func() error { return context.Canceled }
			r := s.do(t.Context(), hosts[0], request{method: http.MethodGet, path: path})
			if (r.status == http.StatusOK) != ready {
				t.Errorf("%s of a host that isn't ready: %d", path, r.status)
			}
		}
	})
}

// TestReplay guards against a completed response that is not replayed, streamed or not, or that lacks the header
// X-Figreel-Replayed.
func TestReplay(t *testing.T) {
	key := map[string]string{"Idempotency-Key": "k"}
	nonIdem := strings.Replace(textBody, `"m"`, `"pen"`, 1)
	tests := []request{
		{path: "/svc/pay/charge", body: "10", header: key},
		{path: generatePath, body: nonIdem, header: key},
		{
			path: generatePath, body: withFields(nonIdem, `"stream":true`),
			header: map[string]string{"Idempotency-Key": "k2"},
		},
	}
	runInBubble(t, func(t *testing.T, s *system, hosts []*host) {
		for _, req := range tests {
			first, second := s.do(t.Context(), hosts[0], req), s.do(t.Context(), hosts[1], req)
			if first.status != http.StatusOK || first.header.Get("X-Figreel-Replayed") != "" {
				t.Errorf("%s: first response %d %s", req.path, first.status, first.body)
			}
			if second.header.Get("X-Figreel-Replayed") != "true" {
				t.Errorf("%s: second response has no X-Figreel-Replayed: %d %s", req.path, second.status, second.body)
			}
			if req.path != "/svc/pay/charge" {
				firstText, _, err := first.text()
				secondText, _, err2 := second.text()
				if firstText != expectedText(nonIdempotentItem, "", "hello", 3, 5) || firstText != secondText ||
					err != nil || err2 != nil {
					t.Errorf("%s: responses %q, %v and %q, %v", req.path, firstText, err, secondText, err2)
				}
			} else if string(first.body) != string(second.body) {
				t.Errorf("%s: responses %s and %s", req.path, first.body, second.body)
			}
		}
		if n := len(s.services[0].Executions()) + len(s.services[1].Executions()); n != 1 {
			t.Errorf("charge was executed %d times, want 1", n)
		}
	})
}

// TestDisconnectDoesNotEjectUpstream guards against the ejection of an upstream after a caller disconnected before the
// upstream responded.
func TestDisconnectDoesNotEjectUpstream(t *testing.T) {
	runInBubble(t, func(t *testing.T, s *system, hosts []*host) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		s.do(ctx, hosts[0], request{path: readPath})
		synctest.Wait()
		s.do(t.Context(), hosts[0], request{path: readPath, header: map[string]string{"X-Request-Id": "r1"}})
		executions := s.services[0].Executions()
		if n := len(executions); n == 0 || executions[n-1].RequestID != "r1" {
			t.Errorf("the next request did not go to the first upstream: %+v", executions)
		}
	})
}
