package apigw_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/emul/fault"
	"github.com/figreel/figreel/internal/trace"
)

// TestTrace guards against traces that lack a generation, contain a caller's text or count a replayed response as an
// executed generation.
func TestTrace(t *testing.T) {
	runInBubble(t, func(t *testing.T, s *system, hosts []*host) {
		var b bytes.Buffer
		hosts[0].Trace = &trace.Writer{W: &b}
		time.Sleep(time.Second)
		adapter := strings.Replace(textBody, `"m"`, `"ad"`, 1)
		key := map[string]string{"Idempotency-Key": "k"}
		s.do(t.Context(), hosts[0], request{path: "/v1/chat/completions", body: chatBody})
		s.do(t.Context(), hosts[0], request{path: generatePath, body: withFields(adapter, `"stream":true`)})
		s.do(t.Context(), hosts[0], request{path: generatePath, body: nonIdempotentBody, header: key})
		s.do(t.Context(), hosts[0], request{path: generatePath, body: nonIdempotentBody, header: key})
		s.setFaults(fault.Spec{DropRequest: true})
		s.do(t.Context(), hosts[0], request{path: generatePath, body: textBody})
		calls, err := trace.Read(&b)
		if err != nil || len(calls) != 4 {
			t.Fatalf("%d calls, %v, want 4", len(calls), err)
		}
		wants := []trace.Call{
			{Model: "m", PromptTokens: 2, OutputTokens: 5},
			{Model: "m", Adapter: "ad", PromptTokens: 1, OutputTokens: 5},
			{Model: "pen", PromptTokens: 1, OutputTokens: 5, NotRepeatable: true},
			{Model: "m", PromptTokens: 2, Code: "upstream_failed"},
		}
		for i, c := range calls {
			if c.AtMS < 1000 || c.DeadlineMS != 60_000 || c.PrefixHash == 0 || c.Code == "" && c.FirstTokenMS == 0 {
				t.Errorf("call %d has no times or prefix: %+v", i, c)
			}
			got := trace.Call{
				Model: c.Model, Adapter: c.Adapter, PromptTokens: c.PromptTokens, OutputTokens: c.OutputTokens,
				NotRepeatable: c.NotRepeatable, Code: c.Code,
			}
			if got != wants[i] {
				t.Errorf("call %d is %+v, want %+v", i, got, wants[i])
			}
		}
		if strings.Contains(b.String(), "hello") {
			t.Errorf("trace holds the prompt: %s", b.String())
		}
	})
}
