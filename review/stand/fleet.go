package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	leaderKey  = "figreel/seat"
	hostPrefix = "figreel/hosts/"
	// grace is the time from SIGTERM to SIGKILL.
	grace = 8 * time.Second
	// restartDelay is the time after which the platform starts an ended process again.
	restartDelay = 500 * time.Millisecond
)

type (
	// host is one machine of the system with its process.
	host struct {
		name, zone, ip                   string
		front, ready, control, directory string
		file, log                        string

		mu   sync.Mutex
		cmd  *exec.Cmd
		done chan struct{} // closed at the end of the process
	}

	// fleet is the machines of the system.
	fleet struct {
		dir   string
		store *store
		rec   *record
		hosts []*host
	}
)

// freePorts returns ports that are free at an address.
func freePorts(ip string, n int) ([]string, error) {
	out := make([]string, 0, n)
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// newFleet lays out n machines in each zone; each has a loopback address of its own.
func newFleet(dir string, s *store, rec *record, zones []string, n int) (*fleet, error) {
	f := &fleet{dir: dir, store: s, rec: rec}
	for z, zone := range zones {
		for i := 1; i <= n; i++ {
			h := &host{name: fmt.Sprintf("edge-%s-%d", zone, i), zone: zone, ip: fmt.Sprintf("127.%d.%d.1", 77+z, i)}
			ports, err := freePorts(h.ip, 4)
			if err != nil {
				return nil, err
			}
			h.front, h.ready, h.control, h.directory = ports[0], ports[1], ports[2], ports[3]
			f.hosts = append(f.hosts, h)
		}
	}
	seeds := make([]string, 0, len(zones))
	for z := range zones {
		seeds = append(seeds, fmt.Sprintf("%q", f.hosts[z*n].control))
	}
	for _, h := range f.hosts {
		addr, err := s.listen(h.name)
		if err != nil {
			return nil, err
		}
		h.file, h.log = filepath.Join(dir, h.name+".toml"), filepath.Join(dir, h.name+".log")
		if err := h.writeSettings(addr, strings.Join(seeds, ","), true); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (h *host) writeSettings(storeAddr, seeds string, bootstrap bool) error {
	text := fmt.Sprintf(`node = %q
role = "host"
machine_class = "edge"
serves = ["edge","registry","control_plane"]
ip = %q
zone = %q
region = "r"
seeds = [%s]
bootstrap = %t
heartbeat_ms = 1200
[listen]
front = %q
ready = %q
control = %q
directory = %q
[limits]
cpu_share = 0.4
cpu_cores = 1
memory_mb = 284
max_fds = 4100
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 52
lease_ms = 3000
ttl_max_s = 5
[platform]
address = %q
form = "kv"
`, h.name, h.ip, h.zone, seeds, bootstrap, h.front, h.ready, h.control, h.directory, storeAddr)
	return os.WriteFile(h.file, []byte(text), 0o600)
}

// start starts the process of the machine with the command of the deploy file.
func (h *host) start() error {
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/figreel", "host")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FIGREEL_NODE_FILE=" + h.file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	h.mu.Lock()
	h.cmd, h.done = cmd, done
	h.mu.Unlock()
	return nil
}

func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(sig)
	}
}

func (h *host) ended() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.done
}

// stopAndRestart stops the machine's process as planned work does, and starts it again after its end.
func (f *fleet) stopAndRestart(h *host) {
	f.rec.say("SIGTERM to %s", h.name)
	h.signal(syscall.SIGTERM)
	done := h.ended()
	go func() {
		select {
		case <-done:
		case <-time.After(grace):
			h.signal(syscall.SIGKILL)
			<-done
		}
		time.Sleep(restartDelay)
		if err := h.start(); err != nil {
			f.rec.say("restart of %s failed: %v", h.name, err)
			return
		}
		f.rec.say("%s started again", h.name)
	}()
}

func (f *fleet) startAll() error {
	for _, h := range f.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// stopAll ends all processes.
func (f *fleet) stopAll() {
	for _, h := range f.hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range f.hosts {
		if done := h.ended(); done != nil {
			<-done
		}
	}
}

func (f *fleet) host(name string) *host {
	i := slices.IndexFunc(f.hosts, func(h *host) bool { return h.name == name })
	if i < 0 {
		return nil
	}
	return f.hosts[i]
}

// leader returns the machine that the store names as the leader, or nil.
func (f *fleet) leader() *host {
	var l struct {
		Host string `json:"host"`
	}
	if json.Unmarshal(f.store.value(leaderKey), &l) != nil {
		return nil
	}
	return f.host(l.Host)
}

// isReady asks the readiness endpoint of a machine.
func isReady(ctx context.Context, h *host) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+"/figreel/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready and registered and there is a leader.
func (f *fleet) awaitReady(ctx context.Context, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := f.leader() != nil
		for _, h := range f.hosts {
			all = all && f.store.value(hostPrefix+h.name) != nil && isReady(ctx, h)
		}
		if all {
			return true
		}
	}
	return false
}
