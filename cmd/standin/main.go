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
	// headerTimeout is the time that a client has to send the headers of a request.
	headerTimeout = 10 * time.Second
	// forceQuit is longer than any shutdown takes. With its default, go-zero sends a second SIGTERM 5.5 s after the
	// first.
	forceQuit = 24 * time.Hour
)

// server runs an emulator; beforeStop, if set, is called at the start of the shutdown.
type server struct {
	kind        string
	handler     http.Handler
	beforeStop  func()
	stopTimeout time.Duration
}

func main() {
	proc.SetTimeToForceQuit(forceQuit)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := app().Run(ctx, os.Args); err != nil {
		log.Fatal().Err(err).Msg("emulator failed")
	}
}

func app() *cli.Command {
	return &cli.Command{
		Name:     "standin",
		Usage:    "run an emulator of a platform service or of an upstream",
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
		&cli.FloatFlag{Name: "loads-per-s", Value: 2, Usage: "model loads per second", Destination: &s.LoadsPerS},
		&cli.IntFlag{
			Name: "at-once", Value: 6, Usage: "concurrent model loads at full speed",
			Destination: &s.MaxConcurrentLoads,
		},
		&cli.IntFlag{
			Name: "adapters-in-transit", Value: 50, Usage: "concurrent adapter loads at full speed",
			Destination: &s.MaxConcurrentAdapterLoads,
		},
		&cli.DurationFlag{Name: "load", Value: 2 * time.Second, Destination: &s.LoadTime},
		&cli.DurationFlag{Name: "adapter-load", Value: 5 * time.Millisecond, Destination: &s.AdapterTime},
	)
}

func hostsCommand() *cli.Command {
	reg := new(hosts.Registry)
	return command("hosts", "service registry of hosts and upstreams", reg, nil,
		&cli.DurationFlag{Name: "lag", Value: 2 * time.Second, Destination: &reg.Staleness},
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

// command returns the command that serves h until SIGTERM or SIGINT; beforeStop, if not nil, is called before the
// shutdown.
func command(name, usage string, h http.Handler, beforeStop func(), flags ...cli.Flag) *cli.Command {
	s := &server{kind: name, handler: h, beforeStop: beforeStop}
	common := []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address to listen on"},
		&cli.DurationFlag{
			Name: "stop-timeout", Value: 2 * time.Second, Usage: "wait for pending responses and watches after SIGTERM",
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

// serve handles requests on l until ctx ends. It then waits up to stopTimeout for requests in progress, and closes the
// remaining connections.
func (s *server) serve(ctx context.Context, l net.Listener) error {
	h := &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- h.Serve(l) }()
	log.Info().Str("kind", s.kind).Str("addr", l.Addr().String()).Msg("emulator is listening")
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	if s.beforeStop != nil {
		s.beforeStop()
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), s.stopTimeout)
	defer cancel()
	if h.Shutdown(stopCtx) != nil {
		return errors.Wrap(h.Close(), "close connections")
	}
	return nil
}
