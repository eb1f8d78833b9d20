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
	// settle lets joins, first loads and the first configuration pass before the measurement.
	settle = 20 * time.Second
)

type (
	// usage is what one process has used so far.
	usage struct {
		cpu      time.Duration
		memoryKB int64
	}

	// figures is one line of the result.
	figures struct {
		hosts             int
		cpuMedian, cpuMax float64 // share of a core in percent
		memMedian, memMax int64   // resident memory in KB
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
			&cli.DurationFlag{Name: "for", Usage: "time of each measurement", Value: 30 * time.Second},
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

func measure(ctx context.Context, hosts, engines int, span time.Duration) (figures, error) {
	source, err := os.Getwd()
	if err != nil {
		return figures{}, errors.Wrap(err, "find the source folder")
	}
	dir, err := os.MkdirTemp("", "figreel-fleet-")
	if err != nil {
		return figures{}, errors.Wrap(err, "create a folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r := &local.Cluster{Dir: dir, Hosts: hosts, Engines: engines, Document: local.SmallDocument}
	if err := r.Start(ctx, source); err != nil {
		return figures{}, err
	}
	defer r.Stop()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if _, err := r.Apply(startCtx); err != nil {
		return figures{}, err
	}
	if err := r.AwaitReady(startCtx, "slots", "contracts"); err != nil {
		return figures{}, err
	}
	if !clock.Sleep(ctx, settle) {
		return figures{}, ctx.Err()
	}
	return compare(ctx, r, span)
}

// compare reads every host's usage at both ends of span.
func compare(ctx context.Context, r *local.Cluster, span time.Duration) (figures, error) {
	before, err := usages(r)
	if err != nil {
		return figures{}, err
	}
	callsBefore := kvCalls(ctx, r)
	began := time.Now()
	if !clock.Sleep(ctx, span) {
		return figures{}, ctx.Err()
	}
	took := time.Since(began)
	after, err := usages(r)
	if err != nil {
		return figures{}, err
	}
	f := figures{hosts: r.Hosts, kvPerS: float64(kvCalls(ctx, r)-callsBefore) / took.Seconds()}
	var cpu []float64
	var mem []int64
	for i := range after {
		cpu = append(cpu, 100*(after[i].cpu-before[i].cpu).Seconds()/took.Seconds())
		mem = append(mem, after[i].memoryKB)
	}
	slices.Sort(cpu)
	slices.Sort(mem)
	f.cpuMedian, f.cpuMax = cpu[len(cpu)/2], cpu[len(cpu)-1]
	f.memMedian, f.memMax = mem[len(mem)/2], mem[len(mem)-1]
	return f, nil
}

func usages(r *local.Cluster) ([]usage, error) {
	out := make([]usage, r.Hosts)
	for i := range out {
		u, err := usageOf(r.PID(local.HostName(i)))
		if err != nil {
			return nil, err
		}
		out[i] = u
	}
	return out, nil
}

// kvCalls returns the calls that the key-value service has counted, or 0 when it does not tell.
func kvCalls(ctx context.Context, r *local.Cluster) int {
	a, err := r.Get(ctx, "kv", "/record")
	if err != nil {
		return 0
	}
	var rec struct {
		Calls map[string]int `json:"calls"`
	}
	if json.Unmarshal(a.Body, &rec) != nil {
		return 0
	}
	total := 0
	for _, n := range rec.Calls {
		total += n
	}
	return total
}
