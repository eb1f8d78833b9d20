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

// bubble runs f on virtual time with a site of two engines, two services and two hosts.
func bubble(t *testing.T, f func(t *testing.T, s *site, hosts []*host)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s, hosts := newSite(t, 2, 2, 2)
		f(t, s, hosts)
		s.close()
		// Background writes and connections that linger after an error end within this time.
		time.Sleep(10 * time.Minute)
	})
}

func with(body string, fields string) string {
	return strings.TrimSuffix(body, "}") + "," + fields + "}"
}

// Guards against answers that an ordinary OpenAI client can't read, and against text of another prompt or item.
func TestGenerations(t *testing.T) {
	const stream, usage = `"stream":true`, `"stream_options":{"include_usage":true}`
	parts := strings.Replace(chatBody, `"hello"`, `[{"type":"text","text":"hello"}]`, 1)
	tests := []struct {
		name, path, body string
		header           map[string]string
		want             string
		has              []string // parts of the body
	}{
		{"chat", "chat/completions", chatBody, nil, want(modelItem, "", chatText, 3, 5), []string{
			`"object":"chat.completion"`, `"role":"assistant"`,
			`"usage":{"prompt_tokens":2,"completion_tokens":5,"total_tokens":7}`,
		}},
		{"chat streamed", "chat/completions", with(chatBody, stream), nil, want(modelItem, "", chatText, 3, 5), []string{
			`"object":"chat.completion.chunk"`, `"delta":{"role":"assistant"`, "data: [DONE]\n\n",
		}},
		{
			"chat streamed with usage", "chat/completions", with(chatBody, stream+","+usage), nil,
			want(modelItem, "", chatText, 3, 5),
			[]string{`"choices":[],"usage":{"prompt_tokens":2,"completion_tokens":5,`},
		},
		{"message in parts", "chat/completions", parts, nil, want(modelItem, "", chatText, 3, 5), nil},
		{"completion", "completions", textBody, nil, want(modelItem, "", "hello", 3, 5), []string{
			`"object":"text_completion"`, `"model":"m"`,
		}},
		{
			"completion streamed", "completions", with(textBody, stream), nil, want(modelItem, "", "hello", 3, 5),
			[]string{"[DONE]"},
		},
		{
			"adapter", "completions", strings.Replace(textBody, `"m"`, `"ad"`, 1), nil,
			want(modelItem, adaptItem, "hello", 3, 5),
			[]string{`"model":"ad"`},
		},
		{
			"newer limit field", "completions", strings.Replace(textBody, "max_tokens", "max_completion_tokens", 1), nil,
			want(modelItem, "", "hello", 3, 5), nil,
		},
		{
			"class and deadline", "completions", textBody,
			map[string]string{"X-Figreel-Class": "batch", "X-Figreel-Deadline-Ms": "5000"},
			want(modelItem, "", "hello", 3, 5), nil,
		},
		{
			"not repeatable by header", "completions", textBody,
			map[string]string{"X-Figreel-Not-Repeatable": "true"},
			want(modelItem, "", "hello", 3, 5), nil,
		},
	}
	bubble(t, func(t *testing.T, s *site, hosts []*host) {
		for _, tt := range tests {
			r := s.do(t.Context(), hosts[0], query{path: "/v1/" + tt.path, body: tt.body, header: tt.header})
			text, finish, err := r.text()
			if err != nil || text != tt.want || finish != "length" {
				t.Errorf("%s: got %q, %q, %v, want %q", tt.name, text, finish, err, tt.want)
			}
			for _, part := range tt.has {
				if !strings.Contains(string(r.body), part) {
					t.Errorf("%s: %s is not in %s", tt.name, part, r.body)
				}
			}
			if r.header.Get("X-Request-Id") == "" {
				t.Errorf("%s: answer has no request id", tt.name)
			}
		}
	})
}

// Guards against bad input that panics, hangs or gets an answer that is not the JSON error with its code and outcome.
func TestRefusals(t *testing.T) {
	long := strings.Repeat("k", 257)
	tests := []struct {
		name   string
		q      query
		status int
		code   string
	}{
		{"no key", query{path: gen, header: map[string]string{"Authorization": ""}}, 401, "unauthorized"},
		{
			"wrong key", query{path: gen, header: map[string]string{"Authorization": "Bearer x"}}, 401, "unauthorized",
		},
		{"unknown model", query{path: gen, body: `{"model":"x","prompt":"p"}`}, 404, "model_not_found"},
		{"unknown service", query{path: "/svc/none/x"}, 404, "service_not_found"},
		{"bad JSON", query{path: gen, body: `{`}, 400, "bad_json"},
		{"wrong type", query{path: gen, body: `{"model":"m","prompt":"p","max_tokens":"x"}`}, 400, "bad_json"},
		{"no prompt", query{path: gen, body: `{"model":"m"}`}, 400, "bad_prompt"},
		{"no messages", query{path: "/v1/chat/completions", body: `{"model":"m"}`}, 400, "bad_messages"},
		{"too many tokens", query{path: gen, body: `{"model":"m","prompt":"p","max_tokens":99999}`}, 400, "bad_max_tokens"},
		{"several answers", query{path: gen, body: with(textBody, `"n":2`)}, 400, "bad_n"},
		{"body too large", query{path: gen, body: strings.Repeat(" ", 65<<10)}, 413, "body_too_large"},
		{
			"unknown class",
			query{path: gen, body: textBody, header: map[string]string{"X-Figreel-Class": "x"}},
			400, "unknown_class",
		},
		{
			"bad deadline",
			query{path: gen, body: textBody, header: map[string]string{"X-Figreel-Deadline-Ms": "-1"}},
			400, "bad_header",
		},
		{
			"bad mark",
			query{path: gen, body: textBody, header: map[string]string{"X-Figreel-Not-Repeatable": "2"}},
			400, "bad_header",
		},
		{
			"bad deadline of a service",
			query{path: "/svc/read/x", header: map[string]string{"X-Figreel-Deadline-Ms": "soon"}},
			400, "bad_header",
		},
		{"long key", query{path: "/svc/pay/x", header: map[string]string{"Idempotency-Key": long}}, 400, "key_too_long"},
		{"key required", query{path: "/svc/strict/x"}, 400, "key_required"},
		{"no upstream", query{path: "/svc/empty/x"}, 503, "no_upstream"},
		{"unknown path", query{path: "/v2/x"}, 404, "unknown_path"},
		{"wrong method", query{method: http.MethodGet, path: gen}, 405, "wrong_method"},
		{"path leaves its service", query{path: "/svc/read/../pay/x"}, 404, "unknown_path"},
	}
	bubble(t, func(t *testing.T, s *site, hosts []*host) {
		for _, tt := range tests {
			r := s.do(t.Context(), hosts[0], tt.q)
			if r.status != tt.status || r.err.Code != tt.code || r.err.Outcome == "" || r.err.Message == "" {
				t.Errorf("%s: got %d %s, want %d %s", tt.name, r.status, r.body, tt.status, tt.code)
			}
			if kind := r.header.Get("Content-Type"); kind != "application/json" {
				t.Errorf("%s: content type %q", tt.name, kind)
			}
		}
		for i, e := range s.engines {
			if n := len(e.Record().Attempts) + len(s.services[i].Executions()); n != 0 {
				t.Errorf("%d refused requests ran", n)
			}
		}
	})
}

// Guards against limits that don't hold: a body that never ends, and more calls in flight than allowed.
func TestLimits(t *testing.T) {
	bubble(t, func(t *testing.T, s *site, hosts []*host) {
		began := time.Now()
		c, err := s.net.Dial(t.Context(), "tcp", "h1:80")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + secret +
			"\r\nContent-Length: 100\r\n\r\n{"))
		buf := make([]byte, 4096)
		n, _ := c.Read(buf)
		_ = c.Close()
		if got := string(buf[:n]); !strings.Contains(got, "body_unreadable") || time.Since(began) > time.Minute {
			t.Errorf("slow body: got %q after %s", got, time.Since(began))
		}

		hosts[0].MaxInFlight = 1
		s.services[0].WorkTime, s.services[1].WorkTime = time.Second, time.Second
		done := make(chan reply)
		go func() { done <- s.do(t.Context(), hosts[0], query{path: "/svc/read/x"}) }()
		synctest.Wait()
		r := s.do(t.Context(), hosts[0], query{path: "/svc/read/y"})
		if r.err.Code != "host_overloaded" || r.err.Outcome != answer.NotRun || r.header.Get("Retry-After") == "" {
			t.Errorf("above the limit: %d %s", r.status, r.body)
		}
		if first := <-done; first.status != http.StatusOK {
			t.Errorf("within the limit: %d %s", first.status, first.body)
		}
	})
}

// Guards against a caller that stops reading and thereby holds its call, and a planned stop, beyond its deadline.
func TestCallerStopsReading(t *testing.T) {
	bubble(t, func(t *testing.T, s *site, hosts []*host) {
		c, err := s.net.Dial(t.Context(), "tcp", "h1:80")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		body := with(textBody, `"stream":true`)
		_, _ = c.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + secret +
			"\r\nX-Figreel-Deadline-Ms: 3000\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body))
		time.Sleep(time.Minute)
		if n := hosts[0].InFlight(); n != 0 {
			t.Errorf("%d calls in flight long after the deadline", n)
		}
	})
}

func itoa(n int) string {
	b, _ := json.Marshal(n)
	return string(b)
}

// Guards against a path, query, method or body that changes on its way to a plain service.
func TestServices(t *testing.T) {
	tests := []struct{ path, seen string }{
		{"/svc/read/items?x=1&y=a%20b", "/items?x=1&y=a%20b"},
		{"/svc/read/a%2Fb%3Fc", "/a%2Fb%3Fc"},
		{"/svc/read/%2F", "/%2F"},
		{"/svc/read/", "/"},
		{"/svc/read", "/"},
		{"/svc/pay/charge?x=1", "/charge?x=1"},
	}
	bubble(t, func(t *testing.T, s *site, hosts []*host) {
		for _, tt := range tests {
			r := s.do(t.Context(), hosts[0], query{method: http.MethodPut, path: tt.path, body: "b"})
			var run struct{ Method, Path, Body string }
			if err := json.Unmarshal(r.body, &run); err != nil || r.status != http.StatusOK {
				t.Errorf("%s: %d %s", tt.path, r.status, r.body)
			}
			if run.Path != tt.seen || run.Method != http.MethodPut || run.Body != "b" {
				t.Errorf("%s: the service saw %+v, want path %s", tt.path, run, tt.seen)
			}
		}
	})
}

// Guards against a cut answer that looks whole to its caller.
func TestCutAnswers(t *testing.T) {
	bubble(t, func(t *testing.T, s *site, hosts []*host) {
		for _, up := range s.services {
			up.Fault.Set(fault.Spec{CutAfterWrites: 1})
		}
		if r := s.do(t.Context(), hosts[0], query{method: http.MethodGet, path: "/svc/read/x"}); r.cut == nil {
			t.Errorf("cut answer of a service: %d %q looks whole", r.status, r.body)
		}
		if r := s.do(t.Context(), hosts[0], query{path: "/svc/pay/x"}); r.err.Outcome != answer.Unknown {
			t.Errorf("cut answer that must not repeat: %d %s", r.status, r.body)
		}
		for _, e := range s.engines {
			e.Fault.Set(fault.Spec{CutAfterWrites: 2})
		}
		r := s.do(t.Context(), hosts[0], query{path: "/v1/chat/completions", body: with(chatBody, `"stream":true`)})
		if _, _, err := r.streamed(); err == nil || !strings.Contains(err.Error(), "upstream_failed (failed)") {
			t.Errorf("stream that can't be completed ended with %v: %s", err, r.body)
		}
		if strings.Contains(string(r.body), "[DONE]") {
			t.Error("stream that can't be completed has [DONE]")
		}
		r = s.do(t.Context(), hosts[0], query{path: "/v1/chat/completions", body: chatBody})
		if r.status != http.StatusBadGateway || r.err.Outcome != answer.Failed {
			t.Errorf("whole answer that can't be completed: %d %s", r.status, r.body)
		}
	})
}

// Guards against model lists and host answers that miss a name, or list a host that should not be used.
func TestInfo(t *testing.T) {
	bubble(t, func(t *testing.T, s *site, hosts []*host) {
		var models struct{ Data []struct{ ID string } }
		r := s.do(t.Context(), hosts[0], query{method: http.MethodGet, path: "/v1/models"})
		if err := json.Unmarshal(r.body, &models); err != nil || len(models.Data) != 3 || models.Data[0].ID != "ad" {
			t.Errorf("models: %s", r.body)
		}
		for path, domain := range map[string]string{"/v1/hosts": "fd1", "/v1/hosts?failure_domain=fd2": "fd2"} {
			var a struct {
				Hosts []apigw.Address
				KeepS int `json:"keep_s"`
			}
			r := s.do(t.Context(), hosts[0], query{method: http.MethodGet, path: path})
			err := json.Unmarshal(r.body, &a)
			if err != nil || len(a.Hosts) != 3 || a.Hosts[0].FailureDomain != domain || a.KeepS != 30 {
				t.Errorf("%s: %s", path, r.body)
			}
		}
		for path, ready := range map[string]bool{"/healthz": true, "/readyz": false} {
			hosts[0].Ready = func() error { return context.Canceled }
			r := s.do(t.Context(), hosts[0], query{method: http.MethodGet, path: path})
			if (r.status == http.StatusOK) != ready {
				t.Errorf("%s of a host that isn't ready: %d", path, r.status)
			}
		}
	})
}

// Guards against a completed answer that is not given again, in either form, or not marked.
func TestReplay(t *testing.T) {
	key := map[string]string{"Idempotency-Key": "k"}
	pen := strings.Replace(textBody, `"m"`, `"pen"`, 1)
	tests := []query{
		{path: "/svc/pay/charge", body: "10", header: key},
		{path: gen, body: pen, header: key},
		{path: gen, body: with(pen, `"stream":true`), header: map[string]string{"Idempotency-Key": "k2"}},
	}
	bubble(t, func(t *testing.T, s *site, hosts []*host) {
		for _, q := range tests {
			first, second := s.do(t.Context(), hosts[0], q), s.do(t.Context(), hosts[1], q)
			if first.status != http.StatusOK || first.header.Get("X-Figreel-Replayed") != "" {
				t.Errorf("%s: first answer %d %s", q.path, first.status, first.body)
			}
			if second.header.Get("X-Figreel-Replayed") != "true" {
				t.Errorf("%s: second answer is not marked: %d %s", q.path, second.status, second.body)
			}
			if q.path != "/svc/pay/charge" {
				one, _, err := first.text()
				two, _, err2 := second.text()
				if one != want(onceItem, "", "hello", 3, 5) || one != two || err != nil || err2 != nil {
					t.Errorf("%s: answers %q, %v and %q, %v", q.path, one, err, two, err2)
				}
			} else if string(first.body) != string(second.body) {
				t.Errorf("%s: answers %s and %s", q.path, first.body, second.body)
			}
		}
		if n := len(s.services[0].Executions()) + len(s.services[1].Executions()); n != 1 {
			t.Errorf("charge ran %d times, want 1", n)
		}
	})
}

// Guards against an upstream that is passed over because a caller left before its answer.
func TestUpstreamIsNotBlamed(t *testing.T) {
	bubble(t, func(t *testing.T, s *site, hosts []*host) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		s.do(ctx, hosts[0], query{path: read})
		synctest.Wait()
		s.do(t.Context(), hosts[0], query{path: read, header: map[string]string{"X-Request-Id": "r1"}})
		runs := s.services[0].Executions()
		if n := len(runs); n == 0 || runs[n-1].RequestID != "r1" {
			t.Errorf("the next request did not go to the first upstream: %+v", runs)
		}
	})
}
