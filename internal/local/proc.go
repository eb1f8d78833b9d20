package local

import (
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// logTailLines and logTailBytes limit the part of a log that an error quotes.
	logTailLines = 10
	logTailBytes = 4 << 10
)

// proc is a child process; its output is appended to NAME.log.
type proc struct {
	name     string
	cmd      *exec.Cmd
	log      *os.File
	done     chan struct{}
	err      error
	stopping atomic.Bool // set before the process is sent a signal that ends it
	stopOnce sync.Once
}

// startProcess starts a child process. If the process ends without having been sent a signal that ends it, onFailure
// gets an error with the end of its log.
func startProcess(onFailure func(error), dir, name, bin string, args ...string) (*proc, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open process log")
	}
	p := &proc{name: name, cmd: exec.Command(bin, args...), log: log, done: make(chan struct{})}
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		_ = log.Close()
		return nil, errors.Wrapf(err, "start %s", name)
	}
	go func() {
		p.err = p.cmd.Wait()
		_ = log.Close()
		if !p.stopping.Load() {
			onFailure(p.failure())
		}
		close(p.done)
	}()
	return p, nil
}

// failure returns an error with the exit status and the last lines of the log of a process that has ended.
func (p *proc) failure() error {
	tail, err := lastLines(p.log.Name())
	if err != nil {
		tail = err.Error()
	}
	return errors.Errorf("%s has ended: %s; the last lines of %s:\n%s", p.name, p.cmd.ProcessState, p.log.Name(), tail)
}

func lastLines(file string) (string, error) {
	f, err := os.Open(file)
	if err != nil {
		return "", errors.Wrap(err, "open process log")
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err != nil {
		return "", errors.Wrap(err, "read process log")
	}
	b, err := io.ReadAll(io.NewSectionReader(f, max(0, info.Size()-logTailBytes), logTailBytes))
	if err != nil {
		return "", errors.Wrap(err, "read process log")
	}
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	return strings.Join(lines[max(0, len(lines)-logTailLines):], "\n"), nil
}

// signal sends a signal to this process, not to its process group.
func (p *proc) signal(sig syscall.Signal) error {
	if sig != syscall.SIGSTOP && sig != syscall.SIGCONT {
		p.stopping.Store(true)
	}
	return errors.Wrapf(p.cmd.Process.Signal(sig), "signal %s", p.name)
}

// wait waits for the end of the process and returns its exit error.
func (p *proc) wait(ctx context.Context) error {
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return errors.Wrapf(context.Cause(ctx), "wait for %s", p.name)
	}
}

// stop sends SIGTERM and, if the process still runs after grace, SIGKILL. SIGCONT comes first, because a paused process
// does not handle SIGTERM.
func (p *proc) stop(grace time.Duration) {
	p.stopOnce.Do(func() {
		p.stopping.Store(true)
		select {
		case <-p.done:
			return
		default:
		}
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-p.done:
		case <-time.After(grace):
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	})
}
