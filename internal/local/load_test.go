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

// run sends calls one after the other until ctx ends.
func (l *load) run(ctx context.Context, worker int) {
	for ctx.Err() == nil {
		host := l.host()
		if worker == 0 {
			l.charge(ctx, host, l.newID("charge"))
			continue
		}
		name := "slots"
		if worker%2 == 1 {
			name = "contracts"
		}
		_ = l.generate(ctx, host, name)
	}
}

// watch checks that a host never serves an older revision than before, also after a restart: every change of the test
// adds a model or an adapter.
func (l *load) watch(ctx context.Context, host string) {
	most := 0
	_ = l.rig.await(ctx, func() bool {
		once, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		a, err := l.rig.Get(once, host, "/v1/models")
		if err != nil || a.Status != http.StatusOK {
			return false
		}
		n := strings.Count(string(a.Body), `"id"`)
		if n < most {
			l.t.Errorf("%s went back from %d models to %d", host, most, n)
		}
		most = max(most, n)
		return false
	})
}

// generate sends one generation; it returns nil for a whole answer.
func (l *load) generate(ctx context.Context, host, name string) error {
	id := l.newID("gen")
	const tokens = 12
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"seed":7}`, name, id, tokens)
	a, err := l.rig.Post(ctx, host, "/v1/completions", body, map[string]string{"X-Request-Id": id})
	if err != nil {
		l.broke(ctx, host, err)
		return err
	}
	if a.Status != http.StatusOK {
		return l.failed(id, a)
	}
	var c completion
	if err := json.Unmarshal(a.Body, &c); err != nil || len(c.Choices) != 1 {
		l.t.Errorf("answer %s cannot be read: %s", id, a.Body)
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.ContainsFunc(l.items[name], func(item string) bool {
		return c.Choices[0].Text == expected(item, id, tokens)
	}) {
		l.t.Errorf("answer of %s is %q, which %v would not give", id, c.Choices[0].Text, l.items[name])
	}
	l.whole++
	return nil
}

// charge sends a request that must not repeat, once; its key stays pending unless the answer is final.
func (l *load) charge(ctx context.Context, host, key string) {
	id := l.newID("charge-call")
	a, err := l.rig.Post(ctx, host, "/svc/deposits/charge", key, map[string]string{
		"X-Request-Id": id, "Idempotency-Key": key,
	})
	if err != nil {
		l.broke(ctx, host, err)
	} else if a.Status != http.StatusOK {
		err = l.failed(id, a)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.charges = append(l.charges, key)
		return
	}
	l.pending = append(l.pending, key)
}

// broke checks that a call without an answer was not sent to a host in its planned stop.
func (l *load) broke(ctx context.Context, host string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if host == l.stopping && ctx.Err() == nil {
		l.t.Errorf("planned stop of %s cut a call: %v", host, err)
	}
}

func (l *load) set(field *string, host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*field = host
}

// host returns one of the hosts that callers use.
func (l *load) host() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		if name := HostName(rand.IntN(l.rig.Hosts)); name != l.left {
			return name
		}
	}
}

func (l *load) failed(id string, a Response) error {
	var f failure
	if err := json.Unmarshal(a.Body, &f); err != nil || f.Error.Outcome == "" {
		l.t.Errorf("error of %s has no outcome: status %d, %s", id, a.Status, a.Body)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken++
	if f.Error.Outcome == "not_run" {
		l.notRun[id] = f.Error.Code
	}
	return fmt.Errorf("%s (%s)", f.Error.Code, f.Error.Outcome)
}

// longStream reads one stream to its end and compares it with what the engine makes up.
func (l *load) longStream(ctx context.Context, host, prompt string, tokens int, started chan<- struct{}) error {
	body := fmt.Sprintf(`{"model":"contracts","prompt":%q,"max_tokens":%d,"seed":7,"stream":true}`, prompt, tokens)
	url := l.rig.URL(host) + "/v1/completions"
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
			if want := expected("contracts@1", prompt, tokens); text.String() != want {
				return fmt.Errorf("stream is %d bytes, want %d", text.Len(), len(want))
			}
			return nil
		}
		var c completion
		if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) != 1 {
			return fmt.Errorf("event %s", data)
		}
		text.WriteString(c.Choices[0].Text)
	}
	return fmt.Errorf("stream ended without [DONE] after %d bytes: %w", text.Len(), lines.Err())
}

// answers waits until every model answers through every host that runs.
func (l *load) answers(ctx context.Context, when string) {
	l.t.Helper()
	until, cancel := context.WithTimeout(ctx, recovers)
	defer cancel()
	for _, name := range []string{"slots", "contracts"} {
		err := l.rig.await(until, func() bool {
			return l.generate(until, l.host(), name) == nil
		})
		if err != nil {
			l.t.Errorf("%s: model %s does not answer within %s", when, name, recovers)
		}
	}
}

// change adds an adapter to the document through one host and waits until it is in force on others.
func (l *load) change(ctx context.Context, adapter string, base int, through string, others ...string) {
	l.t.Helper()
	doc, err := os.ReadFile(l.rig.DocumentFile())
	must(l.t, err)
	changed := strings.Replace(string(doc), "adapters:\n", "adapters:\n"+adapterLine(adapter), 1)
	must(l.t, os.WriteFile(l.rig.DocumentFile(), []byte(changed), fileMode))
	must(l.t, l.rig.await(ctx, func() bool {
		out, err := l.rig.operate(ctx, "apply", "--base", fmt.Sprint(base), "--host", l.rig.URL(through+"-op"),
			l.rig.DocumentFile())
		if err != nil {
			l.t.Logf("apply is repeated: %v: %s", err, out)
		}
		return err == nil
	}))
	l.inForce(ctx, adapter, append(others, through)...)
}

func adapterLine(name string) string {
	return fmt.Sprintf("  - {name: %s, version: \"1\", model: slots, class: quick, memory_mb: 200, "+
		"min_copies: 1}\n", name)
}

// inForce checks that hosts serve an adapter within the stated time.
func (l *load) inForce(ctx context.Context, adapter string, hosts ...string) {
	l.t.Helper()
	until, cancel := context.WithTimeout(ctx, inForce)
	defer cancel()
	for _, h := range hosts {
		err := l.rig.await(until, func() bool {
			a, err := l.rig.Get(until, h, "/v1/models")
			return err == nil && strings.Contains(string(a.Body), `"`+adapter+`"`)
		})
		if err != nil {
			l.t.Errorf("the change is not in force on %s within %s", h, inForce)
		}
	}
}

// settle repeats every charge whose outcome is not known, once, through a host that runs.
func (l *load) settle(ctx context.Context) {
	l.mu.Lock()
	keys := l.pending
	l.pending = nil
	l.mu.Unlock()
	for _, key := range keys {
		until, cancel := context.WithTimeout(ctx, 2*time.Second)
		l.charge(until, HostName(0), key)
		cancel()
	}
}

// listOrders returns one line for each order that an engine received, for the analysis of a failure.
func listOrders(rec model.Record) string {
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

// check compares what callers were told with what the stand-ins recorded.
func (l *load) check(ctx context.Context) {
	ran := make(map[string]bool)
	records := l.past
	for i := range l.rig.Engines {
		records = append(records, l.record(EngineName(i)))
	}
	for _, rec := range records {
		if rec.Overcommits != 0 {
			l.t.Errorf("an engine was overcommitted %d times, by up to %d MB; its orders and their results:\n%s",
				rec.Overcommits, rec.WorstOvercommitMB, listOrders(rec))
		}
		for _, a := range rec.Attempts {
			ran[a.RequestID] = true
		}
	}
	runs := make(map[string]int)
	for _, run := range l.runs(ctx) {
		ran[run.RequestID] = true
		runs[run.Body]++
	}
	for key, n := range runs {
		if n > 1 {
			l.t.Errorf("charge %s ran %d times", key, n)
		}
	}
	for _, key := range l.charges {
		if runs[key] != 1 {
			l.t.Errorf("charge %s was answered but ran %d times", key, runs[key])
		}
	}
	for id, code := range l.notRun {
		if ran[id] {
			l.t.Errorf("request %s was refused as not run (%s) but ran", id, code)
		}
	}
	l.t.Logf("%d whole answers, %d refused or failed, %d charges answered, %d of unknown outcome",
		l.whole, l.broken, len(l.charges), len(l.pending))
	if l.whole == 0 || len(l.charges) == 0 {
		l.t.Error("the load had no whole answer or no charge")
	}
}

// runs returns all calls that the plain service ran.
func (l *load) runs(ctx context.Context) []svc.Execution {
	l.t.Helper()
	var all []svc.Execution
	for _, name := range desks {
		var desk struct{ Runs []svc.Execution }
		l.read(ctx, name, &desk)
		all = append(all, desk.Runs...)
	}
	return all
}

func (l *load) record(name string) model.Record {
	l.t.Helper()
	var rec model.Record
	l.read(l.t.Context(), name, &rec)
	return rec
}

func (l *load) read(ctx context.Context, name string, out any) {
	l.t.Helper()
	a, err := l.rig.Get(ctx, name, "/record")
	if err == nil {
		err = json.Unmarshal(a.Body, out)
	}
	if err != nil {
		l.t.Fatalf("record of %s: %v", name, err)
	}
}

func (l *load) newID(kind string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	return fmt.Sprintf("%s-%d", kind, l.next)
}

func expected(item, prompt string, tokens int) string {
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

// showLogs prints the ends of the logs of hosts and of ended processes when the test has failed.
func showLogs(t *testing.T, r *Cluster, ended map[string]error) {
	if !t.Failed() {
		return
	}
	var names []string
	for name, err := range ended {
		t.Logf("%s had ended: %v", name, err)
		names = append(names, name)
	}
	for i := range r.Hosts {
		names = append(names, HostName(i))
	}
	for _, name := range names {
		b, _ := os.ReadFile(filepath.Join(r.Dir, name+".log"))
		var kept []string
		for _, line := range strings.Split(string(b), "\n") {
			if !strings.Contains(line, "request answered") && !strings.Contains(line, "record_unavailable") {
				kept = append(kept, line)
			}
		}
		t.Logf("%s:\n%s", name, strings.Join(kept[max(0, len(kept)-40):], "\n"))
	}
}
