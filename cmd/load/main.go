package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"github.com/zeromicro/go-zero/core/logx"

	"github.com/figreel/figreel/internal/emul/site"
)

const (
	// exitBreach is the exit code if a call reached an upstream with a wrong workspace or with credentials, or if more
	// units ran than a quota allows.
	exitBreach = 1
	// exitNotFollowed is the exit code if calls did not follow what upstreams stated.
	exitNotFollowed = 3
)

func main() {
	logx.Disable()
	cmd := &cli.Command{
		Name:  "load",
		Usage: "send calls to hosts with emulated upstreams that state limits, departures and pauses",
		Description: "Of each service, the last upstream states a limit, the first that it is leaving, and the " +
			"second asks for pauses.\nExits with 3 if calls did not follow that, and with 1 if keys, workspaces or " +
			"quotas were not observed.",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "hosts", Value: 4, Usage: "number of hosts"},
			&cli.IntFlag{Name: "engines", Value: 6, Usage: "number of model engines"},
			&cli.IntFlag{Name: "plain", Value: 4, Usage: "number of upstreams of a plain service"},
			&cli.FloatFlag{Name: "rate", Value: 90, Usage: "calls per second, a third of them to the plain service"},
			&cli.DurationFlag{Name: "for", Value: 12 * time.Second, Usage: "duration of the load"},
			&cli.FloatFlag{Name: "limit", Value: 2, Usage: "limit in calls per second"},
			&cli.DurationFlag{Name: "hold", Value: 1500 * time.Millisecond, Usage: "time of each pause"},
			&cli.DurationFlag{Name: "restart-every", Usage: "time between two restarts of hosts; 0 means none"},
			&cli.DurationFlag{Name: "store-away", Usage: "length of an outage of the store; 0 means none"},
			&cli.DurationFlag{Name: "work", Value: 80 * time.Millisecond, Usage: "time of each call at an upstream"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the times and hosts of calls"},
			&cli.IntFlag{Name: "random", Usage: "number of random deployments; with --seed, --for and --log only"},
			&cli.IntFlag{Name: "workspaces", Usage: "number of workspaces with keys and quotas; 0 means no keys"},
			&cli.IntFlag{Name: "hot", Usage: "number of workspaces that send several times their usual load"},
			&cli.FloatFlag{Name: "hot-factor", Value: 5, Usage: "load of hot workspaces in multiples of the usual one"},
			&cli.IntSliceFlag{Name: "priority", Usage: "priorities of the workspaces, one after the other"},
			&cli.FloatSliceFlag{Name: "speed", Usage: "speed factors of upstreams, one after the other"},
			&cli.BoolFlag{Name: "log", Usage: "print the logs of all hosts"},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	switch n := cmd.Int("random"); {
	case n < 0:
		return errors.New("random must not be negative")
	case n > 0:
		return runRandom(ctx, cmd, n)
	}
	rate, d := cmd.Float("rate"), cmd.Duration("for")
	s := &site.Site{
		Hosts: cmd.Int("hosts"), Engines: cmd.Int("engines"), Plain: cmd.Int("plain"), ModelRate: rate * 2 / 3,
		PlainRate: rate / 3, WorkTime: cmd.Duration("work"), Duration: d, Seed: cmd.Uint64("seed"),
		Log: site.Logger(cmd.Bool("log")),
	}
	if err := addWorkspaces(cmd, s); err != nil {
		return err
	}
	if s.Hosts < 1 || s.Engines < 3 || s.Plain < 3 || !(rate > 0) || d <= 0 {
		return errors.New("hosts, rate and for must be positive, engines and plain at least 3")
	}
	for service, n := range map[string]int{"engine-": s.Engines, "plain-": s.Plain} {
		s.Statements = append(s.Statements,
			site.Statement{Upstream: fmt.Sprint(service, n-1), From: d / 6, Until: d, Limit: cmd.Float("limit")},
			site.Statement{Upstream: service + "0", From: d / 3, Until: 2 * d, Leaving: true},
			site.Statement{Upstream: service + "1", From: d / 6, Until: 2 * d / 3, Hold: cmd.Duration("hold")},
		)
	}
	if every := cmd.Duration("restart-every"); every > 0 {
		for at := every; at < d; at += every {
			s.RestartAt = append(s.RestartAt, at)
		}
	}
	s.Outages = []site.Outage{{From: d / 2, Until: d/2 + cmd.Duration("store-away")}}
	r, err := s.Run(ctx)
	if err != nil {
		return err
	}
	if err := r.Write(os.Stdout); err != nil {
		return errors.Wrap(err, "write report")
	}
	switch {
	case len(r.Breaches()) > 0:
		os.Exit(exitBreach)
	case len(r.Violations()) > 0:
		os.Exit(exitNotFollowed)
	}
	return nil
}

// addWorkspaces adds the workspaces and the speeds of upstreams that the options describe.
func addWorkspaces(cmd *cli.Command, s *site.Site) error {
	n, hot, factor := cmd.Int("workspaces"), cmd.Int("hot"), cmd.Float("hot-factor")
	if n < 0 || hot < 0 || hot > n || !(factor > 0) {
		return errors.New("hot must be from 0 to the number of workspaces, hot-factor must be positive")
	}
	for _, p := range cmd.IntSlice("priority") {
		if p < 0 {
			return errors.New("priorities must not be negative")
		}
	}
	s.Speeds = cmd.FloatSlice("speed")
	for _, speed := range s.Speeds {
		if !(speed > 0) {
			return errors.New("speeds must be positive")
		}
	}
	if n > 0 {
		s.Workspaces = site.NewWorkspaces(n, hot, factor, s.ModelRate, s.PlainRate, cmd.IntSlice("priority"))
	}
	return nil
}

// runRandom runs random deployments one after the other. It prints a line for each, and the calls of those in which
// statements were not followed.
func runRandom(ctx context.Context, cmd *cli.Command, n int) error {
	d := cmd.Duration("for")
	if d < time.Second {
		return errors.New("for must be at least 1 s")
	}
	failed := 0
	for i := range n {
		s := site.Random(cmd.Uint64("seed")+uint64(i), d)
		s.Log = site.Logger(cmd.Bool("log"))
		r, err := s.Run(ctx)
		if err != nil {
			return err
		}
		violations := r.Violations()
		fmt.Printf("seed %d: %d hosts, %d statements, %d restarts, %d outages, calls %v, not followed %d\n",
			s.Seed, s.Hosts, len(s.Statements), len(s.RestartAt), len(s.Outages), r.Outcomes(), len(violations))
		if len(violations) == 0 {
			continue
		}
		failed++
		if err := r.Write(os.Stdout); err != nil {
			return errors.Wrap(err, "write report")
		}
	}
	if failed > 0 {
		os.Exit(exitNotFollowed)
	}
	return nil
}
