package main

import (
	"context"
	"expvar"
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
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/platform"
)

const (
	// logLines is how many lines may wait for a slow reader before lines are dropped and counted.
	logLines = 2000
	// logPoll is how often waiting lines are written.
	logPoll = 20 * time.Millisecond
	// metricsTime bounds one question for counters.
	metricsTime = 5 * time.Second
)

func hostCommand() *cli.Command {
	return &cli.Command{
		Name:  "host",
		Usage: "run one host on the operators' platform until SIGTERM, which starts a graceful shutdown",
		Description: "The settings file is the one that the platform writes; its path stands in " +
			platform.SettingsVariable + ".\nExits with 2 when settings are faulty and with 1 when the host cannot run.",
		Action: func(ctx context.Context, _ *cli.Command) error {
			return runNative(ctx, os.Getenv(platform.SettingsVariable))
		},
	}
}

func runNative(ctx context.Context, file string) error {
	if file == "" {
		return errors.Errorf("%s does not name a settings file", platform.SettingsVariable)
	}
	settings, err := platform.Load(file)
	if err != nil {
		return err
	}
	counts := &stats.Set{}
	counts.Publish("figreel")
	out := diode.NewWriter(os.Stdout, logLines, logPoll, func(missed int) {
		counts.Events.Add("log_lines_dropped", int64(missed))
	})
	defer func() { _ = out.Close() }()
	zerolog.TimeFieldFormat = time.RFC3339Nano
	log := zerolog.New(out).With().Timestamp().Str("host", settings.Name).Logger()
	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Ignore(syscall.SIGPIPE)
	pool := platform.NewPool()
	pool.Dialed = func(string) { counts.CountEvent("connections_opened") }
	h := &host.Host{
		Settings: settings, Platform: platform.New(settings, pool, counts.CountKVCall), Pool: pool, Stats: counts,
		Log: log, Stop: stop, Reload: watchSettings(ctx, file, log),
	}
	go serveMetrics(ctx, settings.MetricsAddr, log)
	return h.Run(ctx)
}

// serveMetrics serves the counters; without them the host goes on.
func serveMetrics(ctx context.Context, addr string, log zerolog.Logger) {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	srv := &http.Server{Addr: addr, Handler: mux, ReadTimeout: metricsTime, WriteTimeout: metricsTime}
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		log.Error().Err(err).Str("addr", addr).Msg("counters are not served")
	}
}
