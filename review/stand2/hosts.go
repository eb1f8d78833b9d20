package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// grace is the time from SIGTERM to SIGKILL.
const grace = 8 * time.Second

type (
	// host is a machine with its process.
	host struct {
		name, zone, ip                   string
		front, ready, control, directory string
		file, log                        string
		store                            *platformStore

		mu   sync.Mutex
		cmd  *exec.Cmd
		done chan struct{} // closed at the end of the process
	}

	fleet struct {
		dir   string
		hosts []*host
	}
)

// newFleet starts n hosts in three zones; each has a loopback address of its own.
func newFleet(s *platformStore, n int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir}
	f.endOnSignal()
	var seeds []string
	for i := range n {
		h := &host{
			name: fmt.Sprintf("edge-%c-%d", 'a'+i%3, i/3+1), zone: string(rune('a' + i%3)),
			ip: fmt.Sprintf("127.%d.%d.%d", 200+os.Getpid()%50, i%3+1, i/3+1), store: s,
		}
		ports, err := freePorts(h.ip, 4)
		if err != nil {
			return f, err
		}
		h.front, h.ready, h.control, h.directory = ports[0], ports[1], ports[2], ports[3]
		h.file, h.log = filepath.Join(dir, h.name+".toml"), filepath.Join(dir, h.name+".log")
		f.hosts = append(f.hosts, h)
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", h.control))
		}
	}
	for _, h := range f.hosts {
		if err := h.writeSettings(strings.Join(seeds, ",")); err != nil {
			return f, err
		}
		if err := h.start(); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady()
}

// endOnSignal ends the hosts and the process when it is told to stop.
func (f *fleet) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		f.end()
		os.Exit(2)
	}()
}

// freePorts returns ports that are free at an address. They are reserved together, so that none is returned twice.
func freePorts(ip string, n int) ([]string, error) {
	var reserved []net.Listener
	defer func() {
		for _, l := range reserved {
			_ = l.Close()
		}
	}()
	var out []string
	for range n {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, err
		}
		reserved = append(reserved, l)
		out = append(out, l.Addr().String())
	}
	return out, nil
}

func (h *host) writeSettings(seeds string) error {
	text := fmt.Sprintf(`node = %q
role = "host"
machine_class = "edge"
serves = ["edge","registry","control_plane"]
ip = %q
zone = %q
region = "r"
seeds = [%s]
bootstrap = true
heartbeat_ms = 1200
[zones]
a = "r"
b = "r"
c = "r"
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
grace_s = %d
loss_slack_ms = 200
config_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 52
recovery_s = 12
lease_ms = 3000
thaw_slack_ms = 300
ttl_max_s = 5
[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, h.name, h.ip, h.zone, seeds, h.front, h.ready, h.control, h.directory, int(grace.Seconds()), h.store.addr)
	return os.WriteFile(h.file, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/figreel", "host")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FIGREEL_NODE_FILE=" + h.file}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.done = cmd, done
	h.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(sig)
	}
}

func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	if done != nil {
		<-done
	}
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.ready + "/figreel/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready and registered, and one of them leads.
func (f *fleet) awaitReady() error {
	for range 150 {
		all := f.leader() != nil
		for _, h := range f.hosts {
			all = all && h.store.Value("figreel/hosts/"+h.name) != "" && h.isReady()
		}
		if all {
			return nil
		}
		pause(context.Background(), 100*time.Millisecond)
	}
	var states strings.Builder
	for _, h := range f.hosts {
		log, _ := os.ReadFile(h.log)
		fmt.Fprintf(&states, "\n%s: ready %v, registered %q, its log ends with %s", h.name, h.isReady(),
			h.store.Value("figreel/hosts/"+h.name), log[max(len(log)-1500, 0):])
	}
	return fmt.Errorf("the hosts do not become ready, the leader key is %q:%s", f.hosts[0].store.Value("figreel/seat"),
		states.String())
}

// leader returns the host that last wrote the leader key, or nil.
func (f *fleet) leader() *host {
	var seat struct {
		Host string `json:"host"`
	}
	for _, h := range f.hosts {
		if json.Unmarshal([]byte(h.store.Value("figreel/seat")), &seat) == nil && seat.Host == h.name {
			return h
		}
	}
	return nil
}

// end kills all hosts and removes their folder, unless it is to be kept.
func (f *fleet) end() {
	for _, h := range f.hosts {
		h.signal(syscall.SIGCONT)
		h.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs are in", f.dir)
	}
}
