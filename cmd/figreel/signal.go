package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/zeromicro/go-zero/core/proc"
)

// signalDelay is the time in which a signal reaches all its receivers, also on a busy machine.
const signalDelay = 500 * time.Millisecond

// stopSignals returns the signals that stop the process, including one that came before the call.
func stopSignals() <-chan os.Signal {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	return withEarlySignal(signals, proc.Done())
}

// withEarlySignal returns a channel that receives signals, preceded by a SIGTERM if early is closed by a signal that is
// not among them. go-zero receives signals as soon as its packages are initialized, so a signal that comes between that
// and signal.Notify closes proc.Done, and neither ends the process nor reaches signals.
func withEarlySignal(signals <-chan os.Signal, early <-chan struct{}) <-chan os.Signal {
	stop := make(chan os.Signal, cap(signals))
	go func() {
		select {
		case s := <-signals:
			stop <- s
		case <-early:
			select {
			case s := <-signals:
				stop <- s
			case <-time.After(signalDelay):
				stop <- syscall.SIGTERM
			}
		}
		for s := range signals {
			stop <- s
		}
	}()
	return stop
}
