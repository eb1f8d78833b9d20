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

// settingsPollInterval is how often the settings file is checked for changes, because it may change without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// watchSettings sends the settings after each change of their file, and after each SIGHUP. Invalid settings are logged
// and not sent. New settings replace those that the receiver has not received yet.
func watchSettings(ctx context.Context, file string, log zerolog.Logger) <-chan host.Settings {
	out := make(chan host.Settings, 1)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hup)
		tick := time.NewTicker(settingsPollInterval)
		defer tick.Stop()
		lastModTime := modTime(file)
		for {
			signaled := false
			select {
			case <-ctx.Done():
				return
			case <-hup:
				signaled = true
			case <-tick.C:
			}
			current := modTime(file)
			if !signaled && current.Equal(lastModTime) {
				continue
			}
			lastModTime = current
			s, err := platform.Load(file)
			if err != nil {
				log.Error().Err(err).Msg("cannot read settings, keeping the previous ones")
				continue
			}
			log.Info().Bool("signal", signaled).Strs("seeds", s.Seeds).Msg("settings reloaded")
			select {
			case <-out:
			default:
			}
			out <- s
		}
	}()
	return out
}

// modTime returns the file's modification time, or the zero time when the file cannot be accessed.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
