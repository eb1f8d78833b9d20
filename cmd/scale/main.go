package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/figreel/figreel/internal/member"
	"github.com/figreel/figreel/internal/scale"
)

func main() {
	cmd := &cli.Command{
		Name:  "scale",
		Usage: "measure the cost of connections, membership and leases between hosts",
		Commands: []*cli.Command{
			{
				Name:  "quic",
				Usage: "measure QUIC connections over loopback",
				Flags: []cli.Flag{
					&cli.IntSliceFlag{Name: "connections", Value: []int{10, 50, 150}},
				},
				Action: runQUIC,
			},
			{
				Name:  "members",
				Usage: "simulate membership in virtual time",
				Flags: []cli.Flag{
					&cli.IntSliceFlag{Name: "hosts", Value: []int{50, 150, 370}},
					&cli.IntFlag{
						Name: "fanout", Usage: "members that each host pings in turn, 0 for all",
						Value: member.DefaultFanout,
					},
					&cli.BoolFlag{Name: "two-regions", Usage: "add 30 ms of latency between two halves of the hosts"},
				},
				Action: runMembers,
			},
			{
				Name:  "leases",
				Usage: "simulate leases of pools in virtual time",
				Flags: []cli.Flag{
					&cli.IntSliceFlag{Name: "pools", Value: []int{10, 20, 40}},
					&cli.IntFlag{Name: "hosts", Value: 370},
				},
				Action: runLeases,
			},
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "scale:", err)
		os.Exit(1)
	}
}

func runQUIC(_ context.Context, cmd *cli.Command) error {
	var list []scale.QUICResult
	for _, n := range cmd.IntSlice("connections") {
		r, err := scale.MeasureQUIC(n)
		if err != nil {
			return err
		}
		list = append(list, r)
	}
	scale.WriteQUIC(os.Stdout, list)
	return nil
}

func runMembers(_ context.Context, cmd *cli.Command) error {
	var list []scale.MembershipResult
	var steps []func()
	for _, n := range cmd.IntSlice("hosts") {
		steps = append(steps, func() {
			list = append(list, scale.SimulateMembership(n, cmd.Int("fanout"), cmd.Bool("two-regions")))
		})
	}
	scale.RunInVirtualTime(append(steps, func() { scale.WriteMembership(os.Stdout, list) })...)
	return nil
}

func runLeases(_ context.Context, cmd *cli.Command) error {
	var list []scale.LeaseResult
	var steps []func()
	for _, n := range cmd.IntSlice("pools") {
		steps = append(steps, func() { list = append(list, scale.SimulateLeases(n, cmd.Int("hosts"))) })
	}
	scale.RunInVirtualTime(append(steps, func() { scale.WriteLeases(os.Stdout, list) })...)
	return nil
}
