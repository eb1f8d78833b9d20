package local

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	// stopGrace is the time that a process gets to shut down before it is killed.
	stopGrace    = 45 * time.Second
	certValidity = 24 * time.Hour
	dirMode      = 0o700

	defaultEngineMB  = 80_000
	defaultReserveMB = 20_000
	fileMode         = 0o600

	// minPort and endPort bound the ports of processes; they lie below the range for outgoing connections. portAttempts
	// is how many of them are tried for each address.
	minPort      = 10_000
	endPort      = 32_768
	portAttempts = 100
)

// serviceUpstreams are the upstreams of the plain service. There are two, so that a wrong retry of a non-idempotent
// request could execute on the other one and be noticed.
var serviceUpstreams = []string{"desk-1", "desk-2"}

type (
	// Cluster is a small deployment on loopback: hosts, engines and a plain service, and emulators of the key-value
	// service, the weight store and the service registry. Its exported fields are set before Start.
	Cluster struct {
		Dir     string // holds binaries, settings, the document and logs
		Hosts   int
		Engines int
		// EngineMB is the memory of each engine, and ReserveMB the part of it that is reserved for the KV cache, both
		// in MB. EngineMB 0 sets them to 80000 and 20000.
		EngineMB, ReserveMB int
		// EngineArgs are added to the command line of each engine emulator.
		EngineArgs []string
		// Document returns the environment's YAML document; it is called when the addresses are known.
		Document func(c *Cluster) string

		authority *certs.Authority

		// running is canceled when a process fails; the cause says why.
		running context.Context
		fail    context.CancelCauseFunc

		procs map[string]*proc
		ports map[string]int
		args  map[string][]string
	}
)

// Start builds the programs from the module at source, writes the settings and starts every process. After an error it
// stops what it has started.
func (c *Cluster) Start(ctx context.Context, source string) error {
	if err := c.setUp(ctx, source); err != nil {
		return err
	}
	if err := c.startAll(); err != nil {
		c.Stop()
		return err
	}
	return nil
}

// Watch returns a copy of ctx that is canceled when a process ends without having been stopped by the cluster. Its
// cause then names the process, its exit status and the last lines of its log.
func (c *Cluster) Watch(ctx context.Context) (context.Context, context.CancelFunc) {
	watched, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(c.running, func() { cancel(context.Cause(c.running)) })
	return watched, func() {
		stop()
		cancel(nil)
	}
}

// Stop ends every process of the cluster. The hosts end first, because their graceful shutdown needs the other
// processes.
func (c *Cluster) Stop() {
	var hosts, others sync.WaitGroup
	for i := range c.Hosts {
		hosts.Go(func() { c.stopProcess(HostName(i)) })
	}
	hosts.Wait()
	for name := range c.procs {
		others.Go(func() { c.stopProcess(name) })
	}
	others.Wait()
}

// Kill sends SIGKILL to a process and waits for its end.
func (c *Cluster) Kill(name string) error {
	p := c.procs[name]
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// Signal sends sig to the process called name.
func (c *Cluster) Signal(name string, sig syscall.Signal) error {
	return c.procs[name].signal(sig)
}

// PID returns the process ID of the process called name.
func (c *Cluster) PID(name string) int { return c.procs[name].cmd.Process.Pid }

// Wait waits for the end of a process. It returns the exit error, or the error of ctx when that ends first.
func (c *Cluster) Wait(ctx context.Context, name string) error {
	return c.procs[name].wait(ctx)
}

// Restart starts a process that has ended, with the same arguments as before.
func (c *Cluster) Restart(name string) error {
	bin := "standin"
	if c.isHost(name) {
		bin = "figreel"
	}
	p, err := startProcess(c.fail, c.Dir, name, filepath.Join(c.Dir, bin), c.args[name]...)
	if err != nil {
		return err
	}
	c.procs[name] = p
	return nil
}

// URL returns the base URL of a process; the name with the suffix "-op" gives the operator API of a host.
func (c *Cluster) URL(name string) string {
	return "http://" + c.addr(name)
}

// HostName returns the name of the host with index i.
func HostName(i int) string { return fmt.Sprintf("host-%d", i+1) }

// EngineName returns the name of the engine with index i.
func EngineName(i int) string { return fmt.Sprintf("engine-%d", i+1) }

// setUp builds the programs and writes every file that the processes read.
func (c *Cluster) setUp(ctx context.Context, source string) error {
	c.prepare()
	steps := []func() error{
		func() error { return os.MkdirAll(c.Dir, dirMode) },
		func() error { return c.buildPrograms(ctx, source) },
		c.reservePorts,
		c.writeCertificates,
		c.writeSettings,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// prepare sets the fields that are empty before Start.
func (c *Cluster) prepare() {
	c.running, c.fail = context.WithCancelCause(context.Background())
	c.procs = make(map[string]*proc)
	c.ports = make(map[string]int)
	c.args = make(map[string][]string)
	if c.EngineMB == 0 {
		c.EngineMB, c.ReserveMB = defaultEngineMB, defaultReserveMB
	}
}

// checksFencing reports whether engine i refuses orders with an outdated fencing token. Every second one does, so that
// both kinds of engines are in use.
func checksFencing(i int) bool { return i%2 == 0 }

// exited returns the exit errors, by name, of the processes that have ended and were not restarted.
func (c *Cluster) exited() map[string]error {
	exited := make(map[string]error)
	for name, p := range c.procs {
		select {
		case <-p.done:
			exited[name] = p.err
		default:
		}
	}
	return exited
}

func (c *Cluster) isHost(name string) bool {
	for i := range c.Hosts {
		if HostName(i) == name {
			return true
		}
	}
	return false
}

func (c *Cluster) stopProcess(name string) {
	if p := c.procs[name]; p != nil {
		p.stop(stopGrace)
	}
}

func (c *Cluster) buildPrograms(ctx context.Context, source string) error {
	target := c.Dir + string(filepath.Separator)
	cmd := exec.CommandContext(ctx, "go", "build", "-o", target, "./cmd/figreel", "./cmd/standin")
	cmd.Dir = source
	out, err := cmd.CombinedOutput()
	return errors.Wrapf(err, "build programs: %s", out)
}

func (c *Cluster) addr(name string) string {
	return fmt.Sprintf("127.0.0.1:%d", c.ports[name])
}

// reservePorts picks a free port for each address. It holds all of them open until it returns, so that they differ, and
// then closes them for the processes to listen on.
func (c *Cluster) reservePorts() error {
	names := append([]string{"kv", "weights", "list"}, serviceUpstreams...)
	for i := range c.Engines {
		names = append(names, EngineName(i))
	}
	for i := range c.Hosts {
		names = append(names, HostName(i), HostName(i)+"-op", HostName(i)+"-fellow")
	}
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	for _, name := range names {
		l, err := listenAnywhere()
		if err != nil {
			return errors.Wrap(err, "find a free port")
		}
		listeners = append(listeners, l)
		c.ports[name] = l.Addr().(*net.TCPAddr).Port
	}
	return nil
}

// listenAnywhere listens on a random port that the kernel gives to no outgoing connection, so that a process which has
// ended can listen on its port again.
func listenAnywhere() (l net.Listener, err error) {
	for range portAttempts {
		port := minPort + rand.IntN(endPort-minPort)
		if l, err = net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port))); err == nil {
			return l, nil
		}
	}
	return nil, err
}

func (c *Cluster) writeCertificates() error {
	authority, err := certs.NewAuthority(certValidity)
	if err != nil {
		return err
	}
	c.authority = authority
	var names []string
	for i := range c.Hosts {
		names = append(names, HostName(i))
	}
	return authority.WriteFiles(c.Dir, names, net.IPv4(127, 0, 0, 1))
}

func (c *Cluster) startAll() error {
	c.args["kv"] = []string{"kv", "--listen", c.addr("kv")}
	c.args["weights"] = []string{"weights", "--listen", c.addr("weights")}
	c.args["list"] = []string{"hosts", "--listen", c.addr("list")}
	names := []string{"kv", "weights", "list"}
	for _, name := range serviceUpstreams {
		c.args[name] = []string{"plain", "--listen", c.addr(name)}
		names = append(names, name)
	}
	for i := range c.Engines {
		name := EngineName(i)
		c.args[name] = []string{"engine", "--listen", c.addr(name), "--memory-mb", strconv.Itoa(c.EngineMB)}
		c.args[name] = append(c.args[name], c.EngineArgs...)
		if checksFencing(i) {
			c.args[name] = append(c.args[name], "--checks-fencing")
		}
		names = append(names, name)
	}
	for i := range c.Hosts {
		c.args[HostName(i)] = []string{"serve", "--config", c.settingsFile(i)}
		names = append(names, HostName(i))
	}
	for _, name := range names {
		if err := c.Restart(name); err != nil {
			return err
		}
	}
	return nil
}
