package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"
)

// trouble reports whether the case is played with its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// record writes what happens, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the output.
func (r *record) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func main() {
	cases := map[string]func(*record) (broken bool, err error){
		"upgrade": playUpgrade,
		"frozen":  playFrozen,
		"before":  playBefore,
		"parts":   playParts,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		os.Exit(2)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](r)
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		os.Exit(2)
	case broken:
		r.say("the rule was broken")
		os.Exit(1)
	}
	r.say("the rule held")
}
