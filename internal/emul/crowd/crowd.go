package crowd

import (
	"context"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// pieceInterval is the time between two pieces of a client that sends without end.
	pieceInterval = 50 * time.Millisecond
	// reconnectDelay is the time after which a client connects again whose connection was closed.
	reconnectDelay = 100 * time.Millisecond
	dialTimeout    = time.Second
	sampleInterval = 20 * time.Millisecond
)

// Usage is the most that a process has used.
type Usage struct {
	PeakMB      float64 // resident memory
	Descriptors int
}

// Run lets n clients for each port do what the cases say, in turn, until ctx ends.
func Run(ctx context.Context, ports []Port, n int, cases ...Case) {
	var wg sync.WaitGroup
	for _, p := range ports {
		for i := range n {
			wg.Go(func() { serve(ctx, p, cases[i%len(cases)]) })
		}
	}
	wg.Wait()
}

func serve(ctx context.Context, p Port, c Case) {
	for ctx.Err() == nil {
		connect(ctx, p, c)
		pause(ctx, reconnectDelay)
	}
}

func connect(ctx context.Context, p Port, c Case) {
	dialer := net.Dialer{Timeout: dialTimeout}
	nc, err := dialer.DialContext(ctx, "tcp4", p.Addr)
	if err != nil {
		return
	}
	closed, closeConn := context.WithCancel(ctx)
	defer closeConn()
	stop := context.AfterFunc(closed, func() { _ = nc.Close() })
	defer stop()
	defer func() { _ = nc.Close() }()
	if c.Reads {
		go func() {
			defer closeConn()
			_, _ = io.Copy(io.Discard, nc)
		}()
	}
	opening, piece := c.Sends(p)
	if _, err := io.WriteString(nc, opening); err != nil {
		return
	}
	if piece == "" {
		<-closed.Done()
		return
	}
	for closed.Err() == nil {
		if _, err := io.WriteString(nc, piece); err != nil {
			return
		}
		pause(closed, pieceInterval)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Measure samples the open descriptors of a process until ctx ends, and then returns the most that the process has used
// since its start. It returns an error if the process has ended.
func Measure(ctx context.Context, pid int) (Usage, error) {
	dir := "/proc/" + strconv.Itoa(pid)
	var u Usage
	for {
		open, err := os.ReadDir(dir + "/fd")
		if err != nil {
			return u, errors.Wrap(err, "the process has ended")
		}
		u.Descriptors = max(u.Descriptors, len(open))
		if ctx.Err() != nil {
			break
		}
		pause(ctx, sampleInterval)
	}
	status, err := os.ReadFile(dir + "/status")
	if err != nil {
		return u, errors.Wrap(err, "the process has ended")
	}
	for line := range strings.Lines(string(status)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmHWM:" {
			kb, err := strconv.Atoi(f[1])
			u.PeakMB = float64(kb) / 1024
			return u, errors.Wrap(err, "read the resident memory")
		}
	}
	return u, errors.New("the process has ended")
}
