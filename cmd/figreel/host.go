package main

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/urfave/cli/v3"

	"github.com/figreel/figreel/internal/host"
	"github.com/figreel/figreel/internal/ingres"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/platform"
)

const (
	// logBufferLines is how many log lines are buffered for a slow reader; further lines are dropped and counted.
	logBufferLines = 2000
	// logPollInterval is how often buffered log lines are written.
	logPollInterval = 20 * time.Millisecond
	// metricsTimeout limits the time to read a metrics request, and the time to write its response.
	metricsTimeout = 5 * time.Second
	// metricsShare is the share of the descriptors of the process that connections to the metrics may take.
	metricsShare = 0.04
	// hedgeShareFlag is a flag because the settings file is the platform's and has no field for it.
	hedgeShareFlag = "hedge-share"
)

func hostCommand() *cli.Command {
	return &cli.Command{
		Name:  "host",
		Usage: "run one host on the operators' platform until SIGTERM, which starts a graceful shutdown",
		Description: "The settings file is the one that the platform writes; its path is the value of " +
			platform.SettingsVariable + ".\nExits with 2 if settings are invalid and with 1 if the host cannot run.",
		Flags: []cli.Flag{&cli.FloatFlag{
			Name:  hedgeShareFlag,
			Usage: "share of the calls to plain services that may get a second attempt beside a slow one; 0 is none",
			Validator: func(v float64) error {
				if !(v >= 0 && v <= 1) {
					return errors.Errorf("%g is not between 0 and 1", v)
				}
				return nil
			},
		}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runPlatformHost(ctx, os.Getenv(platform.SettingsVariable), cmd.Float(hedgeShareFlag))
		},
	}
}

// runPlatformHost runs a host until it is stopped by a signal, with the settings in file and that of the flag.
func runPlatformHost(ctx context.Context, file string, hedgeShare float64) error {
	stop := stopSignals()
	if file == "" {
		return errors.Errorf("%s does not name a settings file", platform.SettingsVariable)
	}
	settings, err := platform.Load(file)
	if err != nil {
		return err
	}
	settings.HedgeShare = hedgeShare
	metrics := &stats.Set{}
	metrics.Publish("figreel")
	out := diode.NewWriter(os.Stdout, logBufferLines, logPollInterval, func(missed int) {
		metrics.Events.Add("log_lines_dropped", int64(missed))
	})
	defer func() { _ = out.Close() }()
	zerolog.TimeFieldFormat = time.RFC3339Nano
	log := zerolog.New(out).With().Timestamp().Str("host", settings.Name).Logger()
	signal.Ignore(syscall.SIGPIPE)
	pool := platform.NewPool()
	pool.Dialed = func(string) { metrics.CountEvent("connections_opened") }
	pool.Skipped = func(addr, id string, status int) {
		metrics.CountEvent("responses_skipped")
		log.Info().Str("addr", addr).Str("call", id).Int("status", status).Msg("response to another request skipped")
	}
	h := &host.Host{
		Settings: settings, Platform: platform.New(settings, pool, metrics.CountKVCall), Pool: pool, Stats: metrics,
		Log: log, Stop: stop, Reload: watchSettings(ctx, file, log), Gate: settings.NewGate(metrics, log),
	}
	go serveMetrics(ctx, settings.MetricsAddr, h.Gate, log)
	return h.Run(ctx)
}

// serveMetrics serves the metrics over HTTP; if that fails, the host runs on without.
func serveMetrics(ctx context.Context, addr string, gate *ingres.Gate, log zerolog.Logger) {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	srv := &http.Server{Handler: mux, ReadTimeout: metricsTimeout, WriteTimeout: metricsTimeout}
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	bound, err := net.Listen("tcp", addr)
	if err == nil {
		l := gate.Wrap(bound, ingres.Port{Name: "metrics", Share: metricsShare})
		l.Prepare(srv)
		err = srv.Serve(l)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		log.Error().Err(err).Str("addr", addr).Msg("metrics server failed")
	}
}
