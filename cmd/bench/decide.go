package main

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/figreel/figreel/internal/pool"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

const (
	requestCount = 200_000
	callerCount  = 50
	maxSeqs      = 16
)

// decideCase is one row of the result: engines and models of each pool, and the calls that stay queued in it.
type decideCase struct {
	pools, engines, models int
	backlog                int
}

func decideCommand() *cli.Command {
	return &cli.Command{
		Name:   "decide",
		Usage:  "measures scheduling time per request and memory per model, engine, queued call and ticket",
		Action: func(context.Context, *cli.Command) error { return decide() },
	}
}

func decide() error {
	fmt.Println("| pools | engines/pool | models/pool | queued calls | us per request | us of CPU per request |")
	fmt.Println("|---|---|---|---|---|---|")
	cases := []decideCase{
		{1, 6, 17, 0},
		{1, 12, 17, 0},
		{1, 24, 17, 0},
		{40, 20, 17, 0},
		{1, 6, 17, 500},
		{1, 12, 17, 500},
		{1, 24, 17, 500},
		{40, 20, 17, 500},
	}
	for _, c := range cases {
		wall, cpu := c.measure()
		fmt.Printf("| %d | %d | %d | %d | %.2f | %.2f |\n", c.pools, c.engines, c.models, c.backlog, wall, cpu)
	}
	fmt.Println("\n| what | bytes each |\n|---|---|")
	for _, n := range []int{50, 200, 800} {
		fmt.Printf("| model, of %d | %.0f |\n", n, bytesPerItem(n, func() any { return newDispatcher(1, n) }))
	}
	for _, n := range []int{6, 12, 24} {
		fmt.Printf("| engine, of %d | %.0f |\n", n, bytesPerItem(n, func() any { return newDispatcher(n, 17) }))
	}
	for _, n := range []int{500, 2000, 8000} {
		fmt.Printf("| queued call, of %d | %.0f |\n", n, bytesPerItem(n, func() any { return filledDispatcher(1, n) }))
	}
	for _, n := range []int{96, 192, 384} {
		fmt.Printf("| ticket, of %d | %.0f |\n", n,
			bytesPerItem(n, func() any { return filledDispatcher(n/maxSeqs, n) }))
	}
	return nil
}

// measure returns the microseconds per request, elapsed and of CPU time, for the ticket request, the decision, and the
// reports of the first token and of the end of the call. Each pool keeps a constant backlog of queued calls.
func (c decideCase) measure() (wall, cpu float64) {
	pools := make([]*pool.Dispatcher, c.pools)
	now := time.Unix(0, 0)
	for i := range pools {
		pools[i] = newDispatcher(c.engines, c.models)
		for j := range c.backlog + c.engines*maxSeqs/2 {
			pools[i].Enqueue(now, newRequest(fmt.Sprint("b", j), j, c.models, now))
		}
	}
	openTickets := make([][]string, c.pools)
	ids := make([]string, requestCount)
	for i := range ids {
		ids[i] = fmt.Sprint("r", i)
	}
	start, cpuBefore := time.Now(), cpuTime()
	for i, id := range ids {
		d := pools[i%c.pools]
		now = now.Add(time.Duration(1+i%3) * 300 * time.Microsecond / time.Duration(c.pools))
		d.Enqueue(now, newRequest(id, i, c.models, now))
		openTickets[i%c.pools] = stepDispatcher(d, now, openTickets[i%c.pools], c.engines*maxSeqs)
	}
	return float64(time.Since(start).Microseconds()) / requestCount,
		float64((cpuTime() - cpuBefore).Microseconds()) / requestCount
}

// cpuTime returns the CPU time that this process has used, garbage collection included, or 0 if it cannot be read.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// stepDispatcher runs the dispatcher once, reports a first token for each granted ticket, and reports the call of the
// oldest ticket as done if limit/2 or more tickets are open. It returns the tickets that stay open.
func stepDispatcher(d *pool.Dispatcher, now time.Time, tickets []string, limit int) []string {
	out, _ := d.Step(now)
	for _, v := range out {
		if v.Kind == pool.Granted {
			d.ReportProgress(now, v.Grant.Ticket, wire.Progress{FirstTokenMS: 50, Tokens: 1})
			tickets = append(tickets, v.Grant.Ticket)
		}
	}
	if len(tickets) > 0 && len(tickets) >= limit/2 {
		d.ReportProgress(now, tickets[0], wire.Progress{Tokens: 90, Done: true})
		tickets = tickets[1:]
	}
	return tickets
}

// newDispatcher returns a dispatcher with idle engines, each of which has all models resident.
func newDispatcher(engines, models int) *pool.Dispatcher {
	d := &pool.Dispatcher{
		Pool: "p", TicketPrefix: "1",
		Classes: []envdoc.Class{{Name: "chat", FirstTokenMS: 400, TotalMS: 600_000, ExpectedTokens: 100}},
	}
	var items []string
	for i := range models {
		m := envdoc.Model{Name: fmt.Sprint("model-", i), Version: "1"}
		d.Models = append(d.Models, m)
		items = append(items, m.Item())
	}
	states := make([]pool.EngineState, engines)
	for i := range states {
		states[i] = pool.EngineState{Name: fmt.Sprint("engine-", i), Up: true, MaxSeqs: maxSeqs, Items: items}
	}
	d.SetEngines(time.Unix(0, 0), states)
	return d
}

// filledDispatcher returns a dispatcher that has received n ticket requests and granted what its engines can take.
func filledDispatcher(engines, n int) *pool.Dispatcher {
	now := time.Unix(0, 0)
	d := newDispatcher(engines, 17)
	for i := range n {
		d.Enqueue(now, newRequest(fmt.Sprint(i), i, 17, now))
	}
	d.Step(now)
	return d
}

func newRequest(id string, i, models int, now time.Time) wire.TicketRequest {
	return wire.TicketRequest{
		CallID: id, Model: fmt.Sprint("model-", i%models), Class: "chat",
		Caller: fmt.Sprint("caller-", i%callerCount), Deadline: now.Add(time.Hour), PromptTokens: 300,
		PrefixHash: uint64(i%1000) + 1,
	}
}

// bytesPerItem returns the heap bytes that stay allocated after build, divided by n.
func bytesPerItem(n int, build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
}
