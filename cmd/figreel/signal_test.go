package main

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/zeromicro/go-zero/core/proc"
)

// Guards against a SIGTERM that is lost because it comes before the process handles signals, and against one that is
// received twice, which would force the end of a graceful shutdown.
func TestStopSignals(t *testing.T) {
	proc.SetTimeToForceQuit(time.Hour)
	keepAlive := make(chan os.Signal, 1)
	signal.Notify(keepAlive, syscall.SIGTERM)
	defer signal.Stop(keepAlive)
	sendSIGTERM := func() {
		if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	for _, tt := range []struct {
		name  string
		early bool
	}{
		{"after the call", false},
		{"before the call", true}, // go-zero has received the signal of the case before
	} {
		if tt.early {
			<-proc.Done()
		}
		stop := stopSignals()
		if !tt.early {
			sendSIGTERM()
		}
		expectSignal(t, tt.name, stop)
		sendSIGTERM()
		expectSignal(t, tt.name+", then another", stop)
	}
}

// expectSignal fails unless exactly one signal arrives.
func expectSignal(t *testing.T, name string, stop <-chan os.Signal) {
	t.Helper()
	got := 0
	timeout := time.After(2 * signalDelay)
	for {
		select {
		case <-stop:
			got++
		case <-timeout:
			if got != 1 {
				t.Errorf("%s: %d signals, want 1", name, got)
			}
			return
		}
	}
}
