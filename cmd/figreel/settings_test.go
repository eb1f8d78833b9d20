package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

const validSettings = `node = "n1"
ip = "127.0.0.1"
zone = "z1"
seeds = ["127.0.0.1:1"]
[listen]
front = "127.0.0.1:80"
ready = "127.0.0.1:81"
control = "127.0.0.1:83"
directory = "127.0.0.1:82"
[bounds]
drain_ms = 2000
grace_s = 8
lease_ms = 3000
budget_window_s = 10
ceiling_window_s = 5
ttl_max_s = 5
[platform]
address = "127.0.0.1:90"
`

// Guards against changed settings that are not reloaded after a SIGHUP, and against invalid ones that are applied.
func TestWatchSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.toml")
	write := func(body string) {
		if err := os.WriteFile(file, []byte(body), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(validSettings)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	changes := watchSettings(ctx, file, zerolog.Nop())
	for _, tt := range []struct {
		body string
		want string
	}{
		{strings.Replace(validSettings, "127.0.0.1:1", "127.0.0.1:2", 1), "127.0.0.1:2"},
		{"node = 7", ""},
		{strings.Replace(validSettings, "127.0.0.1:1", "127.0.0.1:3", 1), "127.0.0.1:3"},
	} {
		write(tt.body)
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		if tt.want == "" {
			select {
			case s := <-changes:
				t.Errorf("invalid settings were sent: %+v", s)
			case <-time.After(300 * time.Millisecond):
			}
			continue
		}
		select {
		case s := <-changes:
			if s.Seeds[0] != tt.want {
				t.Errorf("seeds %v, want %s", s.Seeds, tt.want)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("settings were not reloaded")
		}
	}
}

// Guards against the loss of the newest settings when they change again before the host has taken the previous ones.
func TestNewestSettingsAreKept(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.toml")
	if err := os.WriteFile(file, []byte(validSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	changes := watchSettings(ctx, file, zerolog.Nop())
	for _, seed := range []string{"127.0.0.1:2", "127.0.0.1:3"} {
		body := strings.Replace(validSettings, "127.0.0.1:1", seed, 1)
		if err := os.WriteFile(file, []byte(body), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(300 * time.Millisecond)
	}
	timeout := time.After(10 * time.Second)
	for {
		select {
		case s := <-changes:
			if s.Seeds[0] == "127.0.0.1:3" {
				return
			}
		case <-timeout:
			t.Fatal("the newest settings were lost")
		}
	}
}
