package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/local"
)

const (
	defaultEngines = 12
	startTimeout   = 3 * time.Minute
	// warmup is the wait before a measurement, so that hosts have joined, applied the first document and loaded models.
	warmup = 20 * time.Second
)

type (
	// usage is the CPU time that a process has used since its start, and its resident memory.
	usage struct {
		cpu      time.Duration
		memoryKB int64
	}

	// result is one row of the printed table.
	result struct {
		hosts             int
		cpuMedian, cpuMax float64 // percent of a core
		memMedian, memMax int64   // KB resident
		kvPerS            float64
	}
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := app().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
}

func app() *cli.Command {
	return &cli.Command{
		Name:  "fleet",
		Usage: "measure the cost of idle hosts",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "hosts", Usage: "numbers of hosts", Value: []int{6, 20, 60}},
			&cli.IntFlag{Name: "engines", Value: defaultEngines},
			&cli.DurationFlag{Name: "for", Usage: "duration of each measurement", Value: 30 * time.Second},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			fmt.Println("| hosts | engines | CPU % of a core, median | max | resident MB, median | max |" +
				" kv calls/s, all hosts |")
			fmt.Println("|---|---|---|---|---|---|---|")
			for _, n := range c.IntSlice("hosts") {
				f, err := measure(ctx, n, c.Int("engines"), c.Duration("for"))
				if err != nil {
					return err
				}
				const kb = 1024
				fmt.Printf("| %d | %d | %.2f | %.2f | %.1f | %.1f | %.1f |\n", f.hosts, c.Int("engines"),
					f.cpuMedian, f.cpuMax, float64(f.memMedian)/kb, float64(f.memMax)/kb, f.kvPerS)
			}
			return nil
		},
	}
}

func measure(ctx context.Context, hosts, engines int, span time.Duration) (result, error) {
	source, err := os.Getwd()
	if err != nil {
		return result{}, errors.Wrap(err, "get working directory")
	}
	dir, err := os.MkdirTemp("", "figreel-fleet-")
	if err != nil {
		return result{}, errors.Wrap(err, "create temporary folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	c := &local.Cluster{Dir: dir, Hosts: hosts, Engines: engines, Document: local.SmallDocument}
	if err := c.Start(ctx, source); err != nil {
		return result{}, err
	}
	defer c.Stop()
	ctx, stopWatch := c.Watch(ctx)
	defer stopWatch()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if _, err := c.Apply(startCtx); err != nil {
		return result{}, err
	}
	if err := c.AwaitReady(startCtx, "slots", "contracts"); err != nil {
		return result{}, err
	}
	if !clock.Sleep(ctx, warmup) {
		return result{}, context.Cause(ctx)
	}
	return sample(ctx, c, span)
}

// sample returns the CPU time and the key-value calls of all hosts during span, and their memory at its end.
func sample(ctx context.Context, c *local.Cluster, span time.Duration) (result, error) {
	before, err := hostUsages(c)
	if err != nil {
		return result{}, err
	}
	callsBefore := kvCalls(ctx, c)
	start := time.Now()
	if !clock.Sleep(ctx, span) {
		return result{}, context.Cause(ctx)
	}
	elapsed := time.Since(start)
	after, err := hostUsages(c)
	if err != nil {
		return result{}, err
	}
	f := result{hosts: c.Hosts, kvPerS: float64(kvCalls(ctx, c)-callsBefore) / elapsed.Seconds()}
	var cpu []float64
	var mem []int64
	for i := range after {
		cpu = append(cpu, 100*(after[i].cpu-before[i].cpu).Seconds()/elapsed.Seconds())
		mem = append(mem, after[i].memoryKB)
	}
	slices.Sort(cpu)
	slices.Sort(mem)
	f.cpuMedian, f.cpuMax = cpu[len(cpu)/2], cpu[len(cpu)-1]
	f.memMedian, f.memMax = mem[len(mem)/2], mem[len(mem)-1]
	return f, nil
}

func hostUsages(c *local.Cluster) ([]usage, error) {
	out := make([]usage, c.Hosts)
	for i := range out {
		u, err := usageOf(c.PID(local.HostName(i)))
		if err != nil {
			return nil, err
		}
		out[i] = u
	}
	return out, nil
}

// kvCalls returns the number of calls that the key-value emulator has received, or 0 when its record cannot be read.
func kvCalls(ctx context.Context, c *local.Cluster) int {
	resp, err := c.Get(ctx, "kv", "/record")
	if err != nil {
		return 0
	}
	var rec struct {
		Calls map[string]int `json:"calls"`
	}
	if json.Unmarshal(resp.Body, &rec) != nil {
		return 0
	}
	total := 0
	for _, n := range rec.Calls {
		total += n
	}
	return total
}
