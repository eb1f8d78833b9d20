package main

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/figreel/figreel/internal/config"
	"github.com/figreel/figreel/internal/mem"
	"github.com/figreel/figreel/internal/opcli"
	"github.com/figreel/figreel/internal/serve"
	"github.com/figreel/figreel/pkg/find"
)

const (
	exitError    = 1
	exitFindings = 2
)

func main() {
	if err := newApp().Run(context.Background(), os.Args); err != nil {
		os.Exit(reportError(err))
	}
}

func newApp() *cli.Command {
	return &cli.Command{
		Name:  "figreel",
		Usage: "serve many models and adapters on fewer accelerators",
		Description: "figreel serve and figreel host run one host. Most other commands are for operators; they " +
			"call the operator address of any host.",
		Commands: append([]*cli.Command{
			serveCommand(), hostCommand(), explainCommand(), certsCommand(),
		}, opcli.Commands()...),
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one host until SIGTERM, which starts a graceful shutdown; a second one ends it at once",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings file of this host (YAML)", Required: true},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runServeHost(ctx, cmd.String("config"))
		},
	}
}

// runServeHost runs a host until it is stopped by a signal, with the settings in file.
func runServeHost(ctx context.Context, file string) error {
	stop := stopSignals()
	cfg, err := config.Load(file)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(cfg.LogLevel)
	if err != nil {
		return errors.Wrap(err, "log level")
	}
	mem.LimitRuntime(cfg.Limits.MemoryMB << 20)
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("host", cfg.Name).Logger()
	host := &serve.Host{Config: cfg, Log: log, Stop: stop}
	return host.Run(ctx)
}

// reportError prints an error and returns its exit code, which is 2 for findings in settings or documents.
func reportError(err error) int {
	var findings *find.List
	if errors.As(err, &findings) {
		fmt.Fprintln(os.Stderr, findings.Error())
		return exitFindings
	}
	var exit cli.ExitCoder
	if errors.As(err, &exit) {
		if msg := exit.Error(); msg != "" {
			fmt.Fprintln(os.Stderr, msg)
		}
		return exit.ExitCode()
	}
	fmt.Fprintln(os.Stderr, "figreel:", err)
	return exitError
}
