package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/host"
	"github.com/figreel/figreel/platform"
)

// settingsEvery is how often the settings file is looked at, because it may change without a signal.
const settingsEvery = 2 * time.Second

// watchSettings sends the settings anew after each change of their file; faulty ones are logged and left out.
func watchSettings(ctx context.Context, file string, log zerolog.Logger) <-chan host.Settings {
	out := make(chan host.Settings, 1)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hup)
		tick := time.NewTicker(settingsEvery)
		defer tick.Stop()
		last := modified(file)
		for {
			asked := false
			select {
			case <-ctx.Done():
				return
			case <-hup:
				asked = true
			case <-tick.C:
			}
			now := modified(file)
			if !asked && now.Equal(last) {
				continue
			}
			last = now
			s, err := platform.Load(file)
			if err != nil {
				log.Error().Err(err).Msg("settings cannot be read, the last ones stay in force")
				continue
			}
			log.Info().Bool("signal", asked).Strs("seeds", s.Seeds).Msg("settings read again")
			select {
			case out <- s:
			default:
			}
		}
	}()
	return out
}

// modified returns the time of the file's last change, or the zero time when it cannot be read.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
