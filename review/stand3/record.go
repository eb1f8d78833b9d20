package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// record holds what was sent, answered and run, in the order of events.
type record struct {
	start time.Time

	mu    sync.Mutex
	lines []string
}

// add adds a line with the time since the start of the case.
func (r *record) add(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f %s", time.Since(r.start).Seconds(), text))
}

// save writes the record to a file.
func (r *record) save(file string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := strings.Join(r.lines, "\n") + "\n"
	return errors.Wrap(os.WriteFile(file, []byte(text), 0o600), "write record")
}
