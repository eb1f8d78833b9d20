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
	// machine sends keyed requests through hosts while hosts, upstreams and the key-value service fail.
	machine struct {
		s       *site
		hosts   []*host
		made    int
		asked   []*asked
		replies chan func() // each stores one answer
		open    int
		fault   string // the first property that did not hold
	}

	// asked is one request of a caller and its answer.
	asked struct {
		id, key string
		host    *host
		reply   reply
	}

	// op is one step of a machine; N and M choose its details.
	op struct {
		Do   string
		N, M int
		Flag bool
	}
)

var (
	keys  = []string{"pay-1", "pay-2", "pen-1"}
	plans = []fault.Spec{
		{},
		{},
		{DropRequest: true, Count: 1},
		{DropResponse: true, Count: 1},
		{Freeze: true},
		{CutAfterWrites: 1, Count: 1},
		{DelayMS: 700},
	}
	kinds = []kvfake.Kind{kvfake.Put, kvfake.Put, kvfake.Get, kvfake.Grant, kvfake.Watch}
	waits = []time.Duration{1, 20, 60, 500, 3000} // in ms
)

// Guards P5 and P4 over random sequences of faults: a key never runs twice, an answer that says not_run is true, and a
// completed answer is given again.
func TestKeysUnderFaults(t *testing.T) {
	// A test of rapid can't run inside a bubble, so the steps are drawn before it.
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) op {
		do := []string{"ask", "ask", "ask", "wait", "wait", "upstream", "kv", "outage", "cut", "die", "stall"}
		return op{
			Do: rapid.SampledFrom(do).Draw(t, "do"), N: rapid.IntRange(0, 99).Draw(t, "n"),
			M: rapid.IntRange(0, 99).Draw(t, "m"), Flag: rapid.Bool().Draw(t, "flag"),
		}
	}), 5, 30)
	rapid.Check(t, func(rt *rapid.T) {
		ops := steps.Draw(rt, "steps")
		m := &machine{}
		synctest.Test(t, func(t *testing.T) {
			m.replies = make(chan func(), 100)
			m.s, m.hosts = newSite(t, 2, 2, 2)
			m.made = len(m.hosts)
			for _, o := range ops {
				m.step(o)
				m.check()
			}
			m.settle()
			m.s.close()
			time.Sleep(10 * time.Minute)
		})
		if m.fault != "" {
			rt.Fatal(m.fault)
		}
	})
}

func (m *machine) step(o op) {
	i := o.N % len(m.hosts)
	h := m.hosts[i]
	switch o.Do {
	case "ask":
		m.send(h, keys[o.M%len(keys)])
	case "wait":
		time.Sleep(waits[o.N%len(waits)] * time.Millisecond)
	case "upstream":
		m.s.upstreams(plans[o.N%len(plans)])
	case "kv":
		m.s.kv.InjectFault(kvfake.Fault{Kind: kinds[o.N%len(kinds)], AfterEffect: o.Flag, Times: o.M%60 + 1})
	case "outage":
		m.s.kv.SetDown(o.Flag)
	case "cut":
		m.s.kv.SetPartitioned(h.name, o.Flag)
	case "die":
		// To callers and to the key-value service the host is gone, in the middle of its calls.
		m.s.kv.SetPartitioned(h.name, true)
		h.stop()
		m.made++
		m.hosts[i] = m.s.host(fmt.Sprintf("h%d", m.made))
	case "stall":
		d := time.Duration(o.M%12+1) * time.Second
		h.stallTickets(d)
		h.stallPick(d)
	}
}

func (m *machine) send(h *host, key string) {
	a := &asked{id: fmt.Sprintf("r%d", len(m.asked)), key: key, host: h}
	m.asked = append(m.asked, a)
	m.open++
	q := query{path: pay, header: map[string]string{
		"X-Request-Id": a.id, "Idempotency-Key": key, "X-Figreel-Deadline-Ms": "8000",
	}}
	if key == "pen-1" {
		q.path, q.body = gen, penBody
	}
	go func() {
		r := m.s.do(context.Background(), h, q)
		m.replies <- func() { a.reply = r }
	}()
}

func (m *machine) failed(format string, args ...any) {
	if m.fault == "" {
		m.fault = fmt.Sprintf(format, args...)
	}
}

// check holds at every moment.
func (m *machine) check() {
	synctest.Wait()
	for len(m.replies) > 0 {
		(<-m.replies)()
		m.open--
	}
	runs := make(map[string]int)
	for _, a := range m.asked {
		n := m.s.runs(a.id)
		runs[a.key] += n
		if n > 0 && a.reply.err.Outcome == answer.NotRun {
			m.failed("request %s ran although it was answered %s", a.id, a.reply.body)
		}
	}
	for key, n := range runs {
		if n > 1 {
			m.failed("key %s ran %d times", key, n)
		}
	}
}

// settle ends all faults and asks once more for every key: a completed answer of a living host comes again.
func (m *machine) settle() {
	m.s.kv.SetDown(false)
	m.s.kv.ClearFaults()
	for _, h := range m.hosts {
		m.s.kv.SetPartitioned(h.name, false)
	}
	m.s.upstreams(fault.Spec{})
	time.Sleep(time.Minute)
	last := len(m.asked)
	for _, key := range keys {
		m.send(m.hosts[0], key)
		time.Sleep(time.Minute)
	}
	m.check()
	if m.open != 0 {
		m.failed("%d requests have no answer", m.open)
	}
	for _, a := range m.asked[:last] {
		if a.reply.status != http.StatusOK || !slices.Contains(m.hosts, a.host) {
			continue
		}
		for _, b := range m.asked[last:] {
			if b.key == a.key && string(b.reply.body) != string(a.reply.body) {
				m.failed("key %s was answered %s and later %s", a.key, a.reply.body, b.reply.body)
			}
		}
	}
}
