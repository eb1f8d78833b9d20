package main

import (
	"context"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/figreel/figreel/internal/tline"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print what happened to one call, from the logs of all hosts, sorted by time",
		ArgsUsage: "CALL LOG...",
		Action: func(_ context.Context, cmd *cli.Command) error {
			args := cmd.Args().Slice()
			if len(args) < 2 {
				return errors.New("explain needs the id of a call and at least one log")
			}
			return explain(args[0], args[1:])
		},
	}
}

// explain prints the timeline of a call from the log files of the hosts.
func explain(call string, files []string) error {
	timeline := &tline.Timeline{Call: call}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open log")
		}
		err = timeline.Read(f)
		_ = f.Close() // opened for reading, so a failed close loses nothing
		if err != nil {
			return errors.Wrap(err, name)
		}
	}
	return timeline.Write(os.Stdout)
}
