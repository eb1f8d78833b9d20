package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog/log"
	"github.com/urfave/cli/v3"
	"github.com/zeromicro/go-zero/core/proc"

	"github.com/figreel/figreel/internal/emul/hosts"
	"github.com/figreel/figreel/internal/emul/kv"
	"github.com/figreel/figreel/internal/emul/model"
	"github.com/figreel/figreel/internal/emul/svc"
	"github.com/figreel/figreel/internal/emul/wstore"
)

const (
	headerTimeout = 10 * time.Second
	// forceQuit is longer than any stop; go-zero would otherwise send a second SIGTERM 5.5 s after the first.
	forceQuit = 24 * time.Hour
)

type server struct {
	name        string
	handler     http.Handler
	leave       func()
	stopTimeout time.Duration
}

func main() {
	proc.SetTimeToForceQuit(forceQuit)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := app().Run(ctx, os.Args); err != nil {
		log.Fatal().Err(err).Msg("stand-in failed")
	}
}

func app() *cli.Command {
	return &cli.Command{
		Name:     "standin",
		Usage:    "run a stand-in for the platform or for an upstream",
		Commands: []*cli.Command{kvCommand(), weightsCommand(), hostsCommand(), engineCommand(), plainCommand()},
	}
}

func kvCommand() *cli.Command {
	s := new(kv.Store)
	return command("kv", "key-value service", s, nil,
		&cli.IntFlag{Name: "reads-per-s", Usage: "limit of reads and watches; 0 means none", Destination: &s.ReadsPerS},
		&cli.IntFlag{Name: "writes-per-s", Usage: "limit of writes; 0 means none", Destination: &s.WritesPerS},
	)
}

func weightsCommand() *cli.Command {
	s := new(wstore.Store)
	return command("weights", "weight store", s, nil,
		&cli.FloatFlag{Name: "loads-per-s", Value: 2, Usage: "starts of model loads", Destination: &s.LoadsPerS},
		&cli.IntFlag{Name: "at-once", Value: 6, Usage: "model loads at full speed", Destination: &s.AtOnce},
		&cli.IntFlag{
			Name: "adapters-in-transit", Value: 50, Usage: "adapter loads at full speed",
			Destination: &s.AdaptersInTransit,
		},
		&cli.DurationFlag{Name: "load", Value: 2 * time.Second, Destination: &s.LoadTime},
		&cli.DurationFlag{Name: "adapter-load", Value: 5 * time.Millisecond, Destination: &s.AdapterTime},
	)
}

func hostsCommand() *cli.Command {
	l := new(hosts.List)
	return command("hosts", "list of hosts and upstreams", l, nil,
		&cli.DurationFlag{Name: "lag", Value: 2 * time.Second, Destination: &l.Lag},
	)
}

func plainCommand() *cli.Command {
	s := new(svc.Service)
	return command("plain", "plain service", s, nil,
		&cli.DurationFlag{Name: "work", Value: 10 * time.Millisecond, Destination: &s.WorkTime},
		&cli.StringFlag{Name: "key-header", Value: "X-Request-Key", Destination: &s.KeyHeader},
	)
}

func engineCommand() *cli.Command {
	e := new(model.Engine)
	return command("engine", "model engine", e, e.Leave,
		&cli.IntFlag{Name: "memory-mb", Value: 80_000, Destination: &e.MemoryMB},
		&cli.IntFlag{Name: "max-seqs", Value: 16, Destination: &e.MaxSeqs},
		&cli.BoolFlag{Name: "checks-fencing", Destination: &e.ChecksFencing},
		&cli.DurationFlag{Name: "step", Value: 10 * time.Millisecond, Destination: &e.StepTime},
		&cli.DurationFlag{Name: "per-seq", Value: 500 * time.Microsecond, Destination: &e.SeqTime},
		&cli.DurationFlag{Name: "per-prompt-word", Value: 100 * time.Microsecond, Destination: &e.PrefillTime},
		&cli.DurationFlag{Name: "load", Value: time.Second, Destination: &e.LoadTime},
		&cli.DurationFlag{Name: "adapter-load", Value: 5 * time.Millisecond, Destination: &e.AdapterTime},
		&cli.DurationFlag{Name: "unload", Value: 100 * time.Millisecond, Destination: &e.UnloadTime},
		&cli.DurationFlag{Name: "load-lag", Value: 2 * time.Second, Destination: &e.LoadLag},
		&cli.StringFlag{Name: "weights", Usage: "URL of the weight store", Destination: &e.WeightURL},
		&cli.IntFlag{Name: "cache-blocks", Value: 4096, Destination: &e.CacheBlocks},
		&cli.DurationFlag{Name: "cache-lag", Value: time.Second, Destination: &e.CacheLag},
	)
}

// command serves h until SIGTERM; leave, if any, is called before the stop.
func command(name, usage string, h http.Handler, leave func(), flags ...cli.Flag) *cli.Command {
	s := &server{name: name, handler: h, leave: leave}
	common := []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address to listen on"},
		&cli.DurationFlag{
			Name: "stop-timeout", Value: 2 * time.Second, Usage: "wait for running answers and watches after SIGTERM",
			Destination: &s.stopTimeout,
		},
	}
	return &cli.Command{
		Name: name, Usage: usage, Flags: append(common, flags...),
		Action: func(ctx context.Context, c *cli.Command) error {
			l, err := net.Listen("tcp", c.String("listen"))
			if err != nil {
				return errors.Wrapf(err, "listen on %s", c.String("listen"))
			}
			return s.serve(ctx, l)
		},
	}
}

func (s *server) serve(ctx context.Context, l net.Listener) error {
	h := &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- h.Serve(l) }()
	log.Info().Str("kind", s.name).Str("addr", l.Addr().String()).Msg("stand-in is listening")
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	if s.leave != nil {
		s.leave()
	}
	stopping, cancel := context.WithTimeout(context.Background(), s.stopTimeout)
	defer cancel()
	if h.Shutdown(stopping) != nil {
		return errors.Wrap(h.Close(), "stop")
	}
	return nil
}
