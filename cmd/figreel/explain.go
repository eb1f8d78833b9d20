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
		Usage:     "tell what happened to one call, from the logs of all hosts in order of time",
		ArgsUsage: "CALL LOG...",
		Action: func(_ context.Context, c *cli.Command) error {
			args := c.Args().Slice()
			if len(args) < 2 {
				return errors.New("explain needs the id of a call and at least one log")
			}
			return explain(args[0], args[1:])
		},
	}
}

func explain(call string, files []string) error {
	s := &tline.Timeline{Call: call}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open log")
		}
		err = s.Read(f)
		_ = f.Close() // only read
		if err != nil {
			return errors.Wrap(err, name)
		}
	}
	return s.Write(os.Stdout)
}
