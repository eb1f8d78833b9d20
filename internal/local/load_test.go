package local

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/emul/model"
	"github.com/figreel/figreel/internal/emul/svc"
	"github.com/figreel/figreel/internal/engine"
)

// sendCalls sends calls one after the other until ctx ends: worker 0 calls the plain service, and each other worker one
// model.
func (l *loadTest) sendCalls(ctx context.Context, worker int) {
	for ctx.Err() == nil {
		host := l.pickHost()
		if worker == 0 {
			l.sendNonIdempotent(ctx, host, l.newID("charge"))
			continue
		}
		name := "slots"
		if worker%2 == 1 {
			name = "contracts"
		}
		_ = l.generate(ctx, host, name)
	}
}

// checkRevisionOrder checks until ctx ends that a host never goes back to an older revision, restarts included. Every
// change of a test adds a model or an adapter, so the number of listed models must not shrink.
func (l *loadTest) checkRevisionOrder(ctx context.Context, host string) {
	highest := 0
	_ = l.cluster.waitUntil(ctx, func() bool {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		resp, err := l.cluster.Get(callCtx, host, "/v1/models")
		if err != nil || resp.Status != http.StatusOK {
			return false
		}
		n := strings.Count(string(resp.Body), `"id"`)
		if n < highest {
			l.recordFinding("%s went back to an older revision: from %d listed models to %d", host, highest, n)
		}
		highest = max(highest, n)
		return false
	})
}

// generate sends one completion request; it returns nil for a complete response, whose text it checks.
func (l *loadTest) generate(ctx context.Context, host, name string) error {
	id := l.newID("gen")
	const tokens = 12
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"seed":7}`, name, id, tokens)
	resp, err := l.cluster.Post(ctx, host, "/v1/completions", body, map[string]string{"X-Request-Id": id})
	if err != nil {
		l.recordNoResponse(ctx, host, err)
		return err
	}
	if resp.Status != http.StatusOK {
		return l.recordError(id, resp)
	}
	var c completion
	if err := json.Unmarshal(resp.Body, &c); err != nil || len(c.Choices) != 1 {
		l.recordFinding("response to %s cannot be decoded: %s", id, resp.Body)
		return err
	}
	l.mu.Lock()
	items := l.modelItems[name]
	l.completed++
	l.mu.Unlock()
	if !slices.ContainsFunc(items, func(item string) bool {
		return c.Choices[0].Text == expectedText(item, id, tokens)
	}) {
		l.recordFinding("response to %s is %q, which none of %v generates", id, c.Choices[0].Text, items)
	}
	return nil
}

// recordFinding records a wrong response for the subtest that checks the responses.
func (l *loadTest) recordFinding(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.findings = append(l.findings, time.Now().UTC().Format(time.TimeOnly+" ")+fmt.Sprintf(format, args...))
}

// sendNonIdempotent sends a non-idempotent request with an idempotency key, without retries. Unless the response is a
// success, the key is kept for a later repetition.
func (l *loadTest) sendNonIdempotent(ctx context.Context, host, key string) {
	id := l.newID("charge-call")
	resp, err := l.cluster.Post(ctx, host, "/svc/deposits/charge", key, map[string]string{
		"X-Request-Id": id, "Idempotency-Key": key,
	})
	if err != nil {
		l.recordNoResponse(ctx, host, err)
	} else if resp.Status != http.StatusOK {
		err = l.recordError(id, resp)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.confirmedKeys = append(l.confirmedKeys, key)
		return
	}
	l.unresolvedKeys = append(l.unresolvedKeys, key)
}

// recordNoResponse handles a call whose connection ended without a response. That is a fault if the host was in
// graceful shutdown, which must complete its calls.
func (l *loadTest) recordNoResponse(ctx context.Context, host string, err error) {
	l.mu.Lock()
	stopping := host == l.stoppingHost
	l.mu.Unlock()
	if stopping && ctx.Err() == nil {
		l.recordFinding("graceful shutdown of %s ended a call without a response: %v", host, err)
	}
}

func (l *loadTest) setHost(field *string, host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*field = host
}

// pickHost returns a random host, except one that has shut down for good.
func (l *loadTest) pickHost() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		if name := HostName(rand.IntN(l.cluster.Hosts)); name != l.stoppedHost {
			return name
		}
	}
}

// recordError checks that an error response states its outcome, stores it for checkRecords and returns it as an error.
func (l *loadTest) recordError(id string, resp Response) error {
	var f errorResponse
	if err := json.Unmarshal(resp.Body, &f); err != nil || f.Error.Outcome == "" {
		l.recordFinding("error response to %s has no outcome: status %d, %s", id, resp.Status, resp.Body)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures++
	if f.Error.Outcome == "not_run" {
		l.notExecuted[id] = f.Error.Code
	}
	return fmt.Errorf("%s (%s)", f.Error.Code, f.Error.Outcome)
}

// readLongStream reads one stream to its end and compares it with the engine emulator's deterministic tokens.
func (l *loadTest) readLongStream(ctx context.Context, host, prompt string, tokens int, started chan<- struct{}) error {
	body := fmt.Sprintf(`{"model":"contracts","prompt":%q,"max_tokens":%d,"seed":7,"stream":true}`, prompt, tokens)
	url := l.cluster.URL(host) + "/v1/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", callerAuth)
	resp, err := http.DefaultClient.Do(req)
	started <- struct{}{}
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var text strings.Builder
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			if want := expectedText("contracts@1", prompt, tokens); text.String() != want {
				return fmt.Errorf("stream is %d bytes, want %d", text.Len(), len(want))
			}
			return nil
		}
		var c completion
		if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) != 1 {
			return fmt.Errorf("event cannot be decoded: %s", data)
		}
		text.WriteString(c.Choices[0].Text)
	}
	return fmt.Errorf("stream ended without [DONE] after %d bytes: %w", text.Len(), lines.Err())
}

// checkAllModels waits until each model completes a call through any running host.
func (l *loadTest) checkAllModels(ctx context.Context, phase string) {
	l.t.Helper()
	deadline, cancel := context.WithTimeout(ctx, maxRecoveryTime)
	defer cancel()
	for _, name := range []string{"slots", "contracts"} {
		err := l.cluster.waitUntil(deadline, func() bool {
			return l.generate(deadline, l.pickHost(), name) == nil
		})
		if err != nil {
			l.t.Errorf("%s: model %s completes no call within %s", phase, name, maxRecoveryTime)
		}
	}
}

// addAdapter adds an adapter to the document, applies it through one host, with retries, and checks that this host and
// others serve it.
func (l *loadTest) addAdapter(ctx context.Context, adapter string, base int, host string, others ...string) {
	l.t.Helper()
	doc, err := os.ReadFile(l.cluster.DocumentFile())
	must(l.t, err)
	changed := strings.Replace(string(doc), "adapters:\n", "adapters:\n"+adapterLine(adapter), 1)
	must(l.t, os.WriteFile(l.cluster.DocumentFile(), []byte(changed), fileMode))
	must(l.t, l.cluster.waitUntil(ctx, func() bool {
		out, err := l.cluster.runFigreel(ctx, "apply", "--base", fmt.Sprint(base), "--host", l.cluster.URL(host+"-op"),
			l.cluster.DocumentFile())
		if err != nil {
			l.t.Logf("apply failed and is repeated: %v: %s", err, out)
		}
		return err == nil
	}))
	l.checkServed(ctx, adapter, append(others, host)...)
}

func adapterLine(name string) string {
	return fmt.Sprintf("  - {name: %s, version: \"1\", model: slots, class: quick, memory_mb: 200, "+
		"min_copies: 1}\n", name)
}

// checkServed checks that hosts list an adapter within maxApplyTime.
func (l *loadTest) checkServed(ctx context.Context, adapter string, hosts ...string) {
	l.t.Helper()
	deadline, cancel := context.WithTimeout(ctx, maxApplyTime)
	defer cancel()
	for _, h := range hosts {
		err := l.cluster.waitUntil(deadline, func() bool {
			resp, err := l.cluster.Get(deadline, h, "/v1/models")
			return err == nil && strings.Contains(string(resp.Body), `"`+adapter+`"`)
		})
		if err != nil {
			l.t.Errorf("the change is not served by %s within %s", h, maxApplyTime)
		}
	}
}

// retryUnresolved repeats each non-idempotent request without a success once, with its key, through a running host. The
// service must not execute it a second time.
func (l *loadTest) retryUnresolved(ctx context.Context) {
	l.mu.Lock()
	keys := l.unresolvedKeys
	l.unresolvedKeys = nil
	l.mu.Unlock()
	for _, key := range keys {
		callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		l.sendNonIdempotent(callCtx, HostName(0), key)
		cancel()
	}
}

// formatOrders returns a line for each order that an engine received, to explain a failure.
func formatOrders(rec model.Record) string {
	var b strings.Builder
	for i, o := range rec.Orders {
		fmt.Fprintf(&b, "%s %s %s fence %d", o.ID, o.Kind, o.Item, o.Fence)
		if i < len(rec.Results) {
			fmt.Fprintf(&b, ": %+v", rec.Results[i])
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// checkRecords compares the responses that callers got with what the emulators recorded. Each property has a subtest.
func (l *loadTest) checkRecords(ctx context.Context, t *testing.T) {
	records := l.pastRecords
	for i := range l.cluster.Engines {
		records = append(records, l.engineRecord(EngineName(i)))
	}
	executions := l.serviceExecutions(ctx)
	t.Run("responses under load", l.checkResponses)
	t.Run("no engine is overcommitted", func(t *testing.T) { checkMemory(t, records) })
	t.Run("executions match the responses", func(t *testing.T) { l.checkExecutions(t, records, executions) })
}

// checkResponses checks that no response was wrong, and that enough requests succeeded to tell.
func (l *loadTest) checkResponses(t *testing.T) {
	for _, f := range l.findings {
		t.Error(f)
	}
	t.Logf("%d complete responses, %d errors, %d non-idempotent requests confirmed, %d unresolved",
		l.completed, l.failures, len(l.confirmedKeys), len(l.unresolvedKeys))
	if l.completed == 0 || len(l.confirmedKeys) == 0 {
		t.Error("no completion or no non-idempotent request succeeded")
	}
}

// checkMemory checks that no engine was overcommitted.
func checkMemory(t *testing.T, records []model.Record) {
	for _, rec := range records {
		if rec.Overcommits != 0 {
			t.Errorf("engine memory was overcommitted %d times, by up to %d MB; orders and their results:\n%s",
				rec.Overcommits, rec.WorstOvercommitMB, formatOrders(rec))
		}
	}
}

// checkExecutions checks that no non-idempotent request was executed twice, that a success means one execution, and
// that not_run means none.
func (l *loadTest) checkExecutions(t *testing.T, records []model.Record, all []svc.Execution) {
	executed := make(map[string]bool)
	for _, rec := range records {
		for _, attempt := range rec.Attempts {
			executed[attempt.RequestID] = true
		}
	}
	executions := make(map[string]int)
	for _, execution := range all {
		executed[execution.RequestID] = true
		executions[execution.Body]++
	}
	for key, n := range executions {
		if n > 1 {
			t.Errorf("request with key %s was executed %d times", key, n)
		}
	}
	for _, key := range l.confirmedKeys {
		if executions[key] != 1 {
			t.Errorf("request with key %s succeeded but was executed %d times", key, executions[key])
		}
	}
	for id, code := range l.notExecuted {
		if executed[id] {
			t.Errorf("request %s was executed, but its error says not_run (%s)", id, code)
		}
	}
}

// serviceExecutions returns all requests that the upstreams of the plain service have executed.
func (l *loadTest) serviceExecutions(ctx context.Context) []svc.Execution {
	l.t.Helper()
	var all []svc.Execution
	for _, name := range serviceUpstreams {
		var record struct{ Runs []svc.Execution }
		l.readRecord(ctx, name, &record)
		all = append(all, record.Runs...)
	}
	return all
}

func (l *loadTest) engineRecord(name string) model.Record {
	l.t.Helper()
	var rec model.Record
	l.readRecord(l.t.Context(), name, &rec)
	return rec
}

func (l *loadTest) readRecord(ctx context.Context, name string, out any) {
	l.t.Helper()
	resp, err := l.cluster.Get(ctx, name, "/record")
	if err == nil {
		err = json.Unmarshal(resp.Body, out)
	}
	if err != nil {
		l.t.Fatalf("read record of %s: %v", name, err)
	}
}

func (l *loadTest) newID(kind string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	return fmt.Sprintf("%s-%d", kind, l.lastID)
}

func expectedText(item, prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(model.Token(engine.Call{Model: item, Prompt: prompt, Seed: 7}, i))
	}
	return b.String()
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// logTails logs the last 40 lines of each host and of each ended process when the test has failed.
func logTails(t *testing.T, c *Cluster, exited map[string]error) {
	if !t.Failed() {
		return
	}
	var names []string
	for name, err := range exited {
		t.Logf("%s had exited: %v", name, err)
		names = append(names, name)
	}
	for i := range c.Hosts {
		names = append(names, HostName(i))
	}
	for _, name := range names {
		b, _ := os.ReadFile(filepath.Join(c.Dir, name+".log"))
		var kept []string
		for _, line := range strings.Split(string(b), "\n") {
			if !strings.Contains(line, "request answered") && !strings.Contains(line, "record_unavailable") {
				kept = append(kept, line)
			}
		}
		t.Logf("%s:\n%s", name, strings.Join(kept[max(0, len(kept)-40):], "\n"))
	}
}
