package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/figreel/figreel/internal/replay"
	"github.com/figreel/figreel/internal/trace"
)

const settingsSuffix = ".trace.yaml"

func main() {
	app := &cli.Command{
		Name:     "bench",
		Usage:    "replays traces and measures the cost of scheduling decisions",
		Commands: []*cli.Command{replayCommand(), decideCommand()},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:  "replay",
		Usage: "replays a trace with the policy and with its baselines",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "trace", Required: true,
				Usage: "name of a trace under bench/, its settings file (.yaml), or a recorded trace (.jsonl)",
			},
			&cli.StringFlag{Name: "outcomes", Usage: "file with acceptance bounds to check"},
			&cli.StringFlag{Name: "plot", Usage: "SVG file for the share of calls that met their targets, over time"},
			&cli.StringSliceFlag{Name: "without", Usage: "components of the policy to switch off"},
			&cli.BoolFlag{Name: "ablate", Usage: "replay without each component of the policy in turn"},
		},
		Action: runReplay,
	}
}

func runReplay(_ context.Context, c *cli.Command) error {
	set, calls, err := loadTrace(c.String("trace"))
	if err != nil {
		return err
	}
	policy, err := replay.Without(replay.Policy{}, c.StringSlice("without"))
	if err != nil {
		return err
	}
	if c.Bool("ablate") {
		return replay.Ablate(os.Stdout, set, calls)
	}
	report := replay.Evaluate(set, calls, policy)
	report.WriteTable(os.Stdout)
	if file := c.String("plot"); file != "" {
		if err := report.Plot(set, file); err != nil {
			return err
		}
	}
	if c.String("outcomes") == "" {
		return nil
	}
	bounds, err := replay.LoadBounds(c.String("outcomes"))
	if err != nil {
		return err
	}
	table, missed := bounds.Check(report.Metrics)
	fmt.Println("\n" + table)
	if missed > 0 {
		return errors.Errorf("%d acceptance bounds were missed", missed)
	}
	return nil
}

// loadTrace returns the workload of a trace and, if the trace was recorded, its calls. A name without a dot or a slash
// is a trace under bench/.
func loadTrace(name string) (*trace.Workload, []trace.Call, error) {
	if !strings.ContainsAny(name, "./") {
		set, err := trace.Load(filepath.Join("bench", name+settingsSuffix))
		return set, nil, err
	}
	if !strings.HasSuffix(name, ".jsonl") {
		set, err := trace.Load(name)
		return set, nil, err
	}
	set, err := trace.Load(strings.TrimSuffix(name, ".jsonl") + settingsSuffix)
	if err != nil {
		return nil, nil, err
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open trace")
	}
	defer func() { _ = f.Close() }()
	calls, err := trace.Read(f)
	return set, calls, err
}
