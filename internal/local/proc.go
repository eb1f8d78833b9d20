package local

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// proc is a child process; its output is appended to NAME.log.
type proc struct {
	name     string
	cmd      *exec.Cmd
	log      *os.File
	done     chan struct{}
	err      error
	stopOnce sync.Once
}

func startProcess(dir, name, bin string, args ...string) (*proc, error) {
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
		close(p.done)
	}()
	return p, nil
}

// signal sends a signal to this process, not to its process group.
func (p *proc) signal(sig syscall.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(sig), "signal %s", p.name)
}

// wait waits for the end of the process and returns its exit error.
func (p *proc) wait(ctx context.Context) error {
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "wait for %s", p.name)
	}
}

// stop sends SIGTERM and, if the process still runs after grace, SIGKILL. SIGCONT comes first, because a paused process
// does not handle SIGTERM.
func (p *proc) stop(grace time.Duration) {
	p.stopOnce.Do(func() {
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
