package local

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/certs"
)

const (
	// stopGrace is how long a process may take to stop before it is killed.
	stopGrace = 45 * time.Second
	certLife  = 24 * time.Hour
	dirMode   = 0o700

	defaultEngineMB  = 80_000
	defaultReserveMB = 20_000
	fileMode         = 0o600
)

// desks are the upstreams of the plain service; with two, a call that must not repeat could be tried elsewhere.
var desks = []string{"desk-1", "desk-2"}

type (
	// Cluster is a small deployment on loopback: hosts, stand-ins of the platform, engines and a plain service.
	// Its exported fields are set before Start.
	Cluster struct {
		Dir     string // for binaries, settings and logs
		Hosts   int
		Engines int
		// EngineMB is the memory of each engine, and ReserveMB its part for KV cache; 0 means 80000 and 20000.
		EngineMB, ReserveMB int
		// EngineArgs are added to the command line of each engine stand-in.
		EngineArgs []string
		// Document returns the document for the addresses of the rig.
		Document func(r *Cluster) string

		authority *certs.Authority

		procs map[string]*proc
		ports map[string]int
		args  map[string][]string
	}
)

// Start builds the programs, writes the settings and starts every process.
func (r *Cluster) Start(ctx context.Context, source string) error {
	r.procs = make(map[string]*proc)
	r.ports = make(map[string]int)
	r.args = make(map[string][]string)
	if r.EngineMB == 0 {
		r.EngineMB, r.ReserveMB = defaultEngineMB, defaultReserveMB
	}
	steps := []func() error{
		func() error { return os.MkdirAll(r.Dir, dirMode) },
		func() error { return r.build(ctx, source) },
		r.reserve,
		r.certificates,
		r.settings,
		r.launch,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			r.Stop()
			return err
		}
	}
	return nil
}

// Stop ends every process that the rig started, hosts first, so that their planned stops find what they need.
func (r *Cluster) Stop() {
	var hosts, rest sync.WaitGroup
	for i := range r.Hosts {
		hosts.Go(func() { r.end(HostName(i)) })
	}
	hosts.Wait()
	for name := range r.procs {
		rest.Go(func() { r.end(name) })
	}
	rest.Wait()
}

// Kill ends a process without warning.
func (r *Cluster) Kill(name string) error {
	p := r.procs[name]
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// Signal sends a signal to a process.
func (r *Cluster) Signal(name string, sig syscall.Signal) error {
	return r.procs[name].signal(sig)
}

// PID returns the process id of a process.
func (r *Cluster) PID(name string) int { return r.procs[name].cmd.Process.Pid }

// Wait waits for the end of a process and returns its error.
func (r *Cluster) Wait(ctx context.Context, name string) error {
	return r.procs[name].wait(ctx)
}

// Restart starts a process that has ended again, with its old settings.
func (r *Cluster) Restart(name string) error {
	bin := "standin"
	if r.isHost(name) {
		bin = "figreel"
	}
	p, err := start(r.Dir, name, filepath.Join(r.Dir, bin), r.args[name]...)
	if err != nil {
		return err
	}
	r.procs[name] = p
	return nil
}

// URL returns the HTTP address of a process; a host's operator address has the suffix "-op".
func (r *Cluster) URL(name string) string {
	return "http://" + r.addr(name)
}

// HostName returns the name of the host with index i.
func HostName(i int) string { return fmt.Sprintf("host-%d", i+1) }

// EngineName returns the name of the engine with index i.
func EngineName(i int) string { return fmt.Sprintf("engine-%d", i+1) }

// checksFencing makes every second engine one that refuses old fencing numbers.
func checksFencing(i int) bool { return i%2 == 0 }

// ended returns how the processes have ended that ended and were not started again, by name.
func (r *Cluster) ended() map[string]error {
	names := make(map[string]error)
	for name, p := range r.procs {
		select {
		case <-p.done:
			names[name] = p.err
		default:
		}
	}
	return names
}

func (r *Cluster) isHost(name string) bool {
	for i := range r.Hosts {
		if HostName(i) == name {
			return true
		}
	}
	return false
}

func (r *Cluster) end(name string) {
	if p := r.procs[name]; p != nil {
		p.end(stopGrace)
	}
}

func (r *Cluster) build(ctx context.Context, source string) error {
	target := r.Dir + string(filepath.Separator)
	cmd := exec.CommandContext(ctx, "go", "build", "-o", target, "./cmd/figreel", "./cmd/standin")
	cmd.Dir = source
	out, err := cmd.CombinedOutput()
	return errors.Wrapf(err, "build programs: %s", out)
}

func (r *Cluster) addr(name string) string {
	return fmt.Sprintf("127.0.0.1:%d", r.ports[name])
}

// reserve finds free ports; they are released before the processes take them.
func (r *Cluster) reserve() error {
	names := append([]string{"kv", "weights", "list"}, desks...)
	for i := range r.Engines {
		names = append(names, EngineName(i))
	}
	for i := range r.Hosts {
		names = append(names, HostName(i), HostName(i)+"-op", HostName(i)+"-fellow")
	}
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for _, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "find a free port")
		}
		open = append(open, l)
		r.ports[name] = l.Addr().(*net.TCPAddr).Port
	}
	return nil
}

func (r *Cluster) certificates() error {
	authority, err := certs.NewAuthority(certLife)
	if err != nil {
		return err
	}
	r.authority = authority
	var names []string
	for i := range r.Hosts {
		names = append(names, HostName(i))
	}
	return authority.WriteFiles(r.Dir, names, net.IPv4(127, 0, 0, 1))
}

func (r *Cluster) launch() error {
	r.args["kv"] = []string{"kv", "--listen", r.addr("kv")}
	r.args["weights"] = []string{"weights", "--listen", r.addr("weights")}
	r.args["list"] = []string{"hosts", "--listen", r.addr("list")}
	order := []string{"kv", "weights", "list"}
	for _, name := range desks {
		r.args[name] = []string{"plain", "--listen", r.addr(name)}
		order = append(order, name)
	}
	for i := range r.Engines {
		name := EngineName(i)
		r.args[name] = []string{"engine", "--listen", r.addr(name), "--memory-mb", strconv.Itoa(r.EngineMB)}
		r.args[name] = append(r.args[name], r.EngineArgs...)
		if checksFencing(i) {
			r.args[name] = append(r.args[name], "--checks-fencing")
		}
		order = append(order, name)
	}
	for i := range r.Hosts {
		r.args[HostName(i)] = []string{"serve", "--config", r.settingsFile(i)}
		order = append(order, HostName(i))
	}
	for _, name := range order {
		if err := r.Restart(name); err != nil {
			return err
		}
	}
	return nil
}
