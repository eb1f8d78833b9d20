package apigw_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/figreel/figreel/internal/emul/fault"
	"github.com/figreel/figreel/internal/kvapi/kvfake"
	"github.com/figreel/figreel/pkg/answer"
)

func init() {
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": "250", "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

type (
	// stateMachine executes random steps: requests with idempotency keys, and faults of hosts, upstreams and the
	// key-value service.
	stateMachine struct {
		sys          *system
		hosts        []*host
		hostsStarted int
		sent         []*sentRequest
		responses    chan func() // each function stores one response
		pending      int
		violation    string // the first violated property, or empty
	}

	// sentRequest is one request of a caller and its response.
	sentRequest struct {
		id, key string
		host    *host
		resp    response
	}

	// op is one step; step derives its parameters from N, M and Flag.
	op struct {
		Do   string
		N, M int
		Flag bool
	}
)

var (
	keys       = []string{"pay-1", "pay-2", "pen-1"} // of two service requests and a generation request
	faultSpecs = []fault.Spec{
		{},
		{},
		{DropRequest: true, Count: 1},
		{DropResponse: true, Count: 1},
		{Freeze: true},
		{CutAfterWrites: 1, Count: 1},
		{DelayMS: 700},
	}
	kvKinds   = []kvfake.Kind{kvfake.Put, kvfake.Put, kvfake.Get, kvfake.Grant, kvfake.Watch}
	waitTimes = []time.Duration{1, 20, 60, 500, 3000} // in milliseconds
)

// TestKeysUnderFaults guards, over random sequences of faults, against a second execution for the same idempotency key,
// a request that was executed although its outcome is not_run, and a completed response that is not replayed.
func TestKeysUnderFaults(t *testing.T) {
	// rapid.Check can't run inside a synctest bubble, so the steps are drawn before the bubble starts.
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) op {
		do := []string{
			"send", "send", "send", "wait", "wait", "upstream fault", "kv fault", "outage", "partition", "crash", "pause",
		}
		return op{
			Do: rapid.SampledFrom(do).Draw(t, "do"), N: rapid.IntRange(0, 99).Draw(t, "n"),
			M: rapid.IntRange(0, 99).Draw(t, "m"), Flag: rapid.Bool().Draw(t, "flag"),
		}
	}), 5, 30)
	rapid.Check(t, func(rt *rapid.T) {
		ops := steps.Draw(rt, "steps")
		m := &stateMachine{}
		synctest.Test(t, func(t *testing.T) {
			m.responses = make(chan func(), 100)
			m.sys, m.hosts = newSystem(t, 2, 2, 2)
			m.hostsStarted = len(m.hosts)
			for _, o := range ops {
				m.step(o)
				m.check()
			}
			m.checkReplays()
			m.sys.close()
			time.Sleep(10 * time.Minute) // as in runInBubble
		})
		if m.violation != "" {
			rt.Fatal(m.violation)
		}
	})
}

// step executes one step on one of the hosts.
func (m *stateMachine) step(o op) {
	i := o.N % len(m.hosts)
	h := m.hosts[i]
	switch o.Do {
	case "send":
		m.send(h, keys[o.M%len(keys)])
	case "wait":
		time.Sleep(waitTimes[o.N%len(waitTimes)] * time.Millisecond)
	case "upstream fault":
		m.sys.setFaults(faultSpecs[o.N%len(faultSpecs)])
	case "kv fault":
		m.sys.kv.InjectFault(kvfake.Fault{Kind: kvKinds[o.N%len(kvKinds)], AfterExecution: o.Flag, Times: o.M%60 + 1})
	case "outage":
		m.sys.kv.SetOutage(o.Flag)
	case "partition":
		m.sys.kv.SetPartitioned(h.name, o.Flag)
	case "crash":
		// The host becomes unreachable for callers and loses the key-value service while its calls are in progress.
		m.sys.kv.SetPartitioned(h.name, true)
		h.stopListener()
		m.hostsStarted++
		m.hosts[i] = m.sys.startHost(fmt.Sprintf("h%d", m.hostsStarted))
	case "pause":
		d := time.Duration(o.M%12+1) * time.Second
		h.pauseAfterTicket(d)
		h.pauseBeforePick(d)
	}
}

// send starts a request with the idempotency key in the background.
func (m *stateMachine) send(h *host, key string) {
	a := &sentRequest{id: fmt.Sprintf("r%d", len(m.sent)), key: key, host: h}
	m.sent = append(m.sent, a)
	m.pending++
	req := request{path: payPath, header: map[string]string{
		"X-Request-Id": a.id, "Idempotency-Key": key, "X-Figreel-Deadline-Ms": "8000",
	}}
	if key == "pen-1" {
		req.path, req.body = generatePath, nonIdempotentBody
	}
	go func() {
		r := m.sys.do(context.Background(), h, req)
		m.responses <- func() { a.resp = r }
	}()
}

// reportViolation stores a violation, unless an earlier one is stored already.
func (m *stateMachine) reportViolation(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

// check verifies the properties that hold after each step, and reports the first violation.
func (m *stateMachine) check() {
	synctest.Wait()
	for len(m.responses) > 0 {
		(<-m.responses)()
		m.pending--
	}
	executions := make(map[string]int)
	for _, a := range m.sent {
		n := m.sys.executions(a.id)
		executions[a.key] += n
		if n > 0 && a.resp.err.Outcome == answer.NotRun {
			m.reportViolation("request %s was executed although its response is %s", a.id, a.resp.body)
		}
	}
	for key, n := range executions {
		if n > 1 {
			m.reportViolation("key %s was executed %d times", key, n)
		}
	}
}

// checkReplays ends all faults, sends one more request for each key, and verifies that earlier complete responses are
// replayed. It skips those of crashed hosts, which may have lost the key-value service before they stored them.
func (m *stateMachine) checkReplays() {
	m.sys.kv.SetOutage(false)
	m.sys.kv.ClearFaults()
	for _, h := range m.hosts {
		m.sys.kv.SetPartitioned(h.name, false)
	}
	m.sys.setFaults(fault.Spec{})
	time.Sleep(time.Minute)
	firstRetry := len(m.sent)
	for _, key := range keys {
		m.send(m.hosts[0], key)
		time.Sleep(time.Minute)
	}
	m.check()
	if m.pending != 0 {
		m.reportViolation("%d requests have no response", m.pending)
	}
	for _, a := range m.sent[:firstRetry] {
		if a.resp.status != http.StatusOK || !slices.Contains(m.hosts, a.host) {
			continue
		}
		for _, b := range m.sent[firstRetry:] {
			if b.key == a.key && string(b.resp.body) != string(a.resp.body) {
				m.reportViolation("key %s got response %s and later %s", a.key, a.resp.body, b.resp.body)
			}
		}
	}
}
