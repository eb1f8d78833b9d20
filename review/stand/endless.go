package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryKB is memory_mb of the settings.
	memoryKB = 284 * 1024
	// linkMBs is the bandwidth of the link of one machine, in MB a second; bodyMBs that of one body without end.
	linkMBs, bodyMBs = 125.0, 10.0
	chunk            = 64 << 10
	// certRate and lookupRate are the requests a second of the sheet for the plain service.
	certRate, lookupRate = 15.2, 7.05
	plainWork            = 60 * time.Millisecond
	plainBytes           = 800
	plainDeadline        = 3 * time.Second
	calmTime             = 8 * time.Second
	endlessTime          = 70 * time.Second
	killsToFault         = 3
	machinesToFault      = 2
)

// endlessBody has the three servers of a plain service answer with bodies that do not end until the caller closes. The
// platform ends each process of the system that takes more memory than its settings allow, and starts it again.
func endlessBody(ctx context.Context, s *site) (broken bool, err error) {
	p := &plainService{site: s, kills: make(map[string]int)}
	if err := p.start(); err != nil {
		return false, err
	}
	if !s.fleet.awaitReady(ctx, 20*time.Second) {
		return false, fmt.Errorf("the machines are not ready")
	}
	go s.consumers.resolve(ctx)
	time.Sleep(time.Second)
	ctx, cancel := context.WithTimeout(ctx, calmTime+endlessTime)
	defer cancel()
	for _, h := range s.fleet.hosts {
		go p.watchMemory(ctx, h)
	}
	if s.trouble {
		time.AfterFunc(calmTime, func() {
			s.rec.say("bodies without end begin")
			p.endless.Store(true)
		})
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.send(ctx, "/cert/", http.MethodPost, certRate, 1) })
	wg.Go(func() { p.send(ctx, "/lookup/", http.MethodGet, lookupRate, 2) })
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for name, kills := range p.kills {
		s.rec.say("%s was ended %d times for its memory", name, kills)
		if kills >= killsToFault {
			n++
		}
	}
	return n >= machinesToFault, nil
}

// plainService is a stand-in of a plain service with three servers.
type plainService struct {
	site    *site
	endless atomic.Bool
	sent    atomic.Int64 // bytes of bodies without end
	nextID  atomic.Int64

	mu    sync.Mutex
	kills map[string]int
}

func (p *plainService) start() error {
	for i, zone := range []string{"a", "b", "c"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		srv := &http.Server{Handler: http.HandlerFunc(p.serve), ReadHeaderTimeout: deadline}
		go func() { _ = srv.Serve(l) }()
		p.site.store.put(fmt.Sprintf("servers/p-%d", i), map[string]any{
			"service": "register", "address": l.Addr().String(), "zone": zone, "version": "v1", "slots": 6,
			"state": "ready", "cold_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
	}
	c := configuration(12)
	c["version"] = 2
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": routeHost, "path_prefix": prefix, "kind": kind, "timeout_ms": 1500,
			"target_latency_ms": 300, "priority": 2, "service": "register", "max_attempts": attempts,
		}
	}
	c["routes"] = append(c["routes"].([]any), route("r-cert", "/cert/", "non_idempotent", 1),
		route("r-lookup", "/lookup/", "idempotent", 2))
	c["services"] = append(c["services"].([]any), map[string]any{"name": "register", "health_path": "/health"})
	p.site.store.put("op/config", c)
	return nil
}

// serve answers one request. A body without end is sent at bodyMBs, and all of them together at no more than the links
// of the machines carry.
func (p *plainService) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Server-Signature", "sig."+r.Header.Get("Attempt-Id"))
	if !p.endless.Load() {
		time.Sleep(plainWork)
		_, _ = w.Write(make([]byte, plainBytes))
		return
	}
	p.site.rec.printf("run %s, body without end", r.Header.Get("Attempt-Id"))
	block := make([]byte, chunk)
	start, sent := time.Now(), 0
	for r.Context().Err() == nil {
		if _, err := w.Write(block); err != nil {
			return
		}
		sent += chunk
		p.sent.Add(chunk)
		if ahead := float64(sent)/(bodyMBs*1e6) - time.Since(start).Seconds(); ahead > 0 {
			time.Sleep(time.Duration(ahead * float64(time.Second)))
		}
		for p.sent.Load() > int64(linkMBs*1e6*0.1*float64(len(p.site.fleet.hosts))) && r.Context().Err() == nil {
			time.Sleep(time.Millisecond)
		}
	}
}

// refillLinks lets the links carry as much again as in a tenth of a second.
func (p *plainService) refillLinks(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		p.sent.Store(0)
	}
}

// send sends requests at a rate until ctx ends; one that may be repeated is sent up to tries times.
func (p *plainService) send(ctx context.Context, path, method string, rate float64, tries int) {
	if method == http.MethodPost {
		go p.refillLinks(ctx)
	}
	for ctx.Err() == nil {
		go func() {
			for range tries {
				if p.ask(ctx, path, method) {
					return
				}
			}
		}()
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
	}
}

func (p *plainService) ask(ctx context.Context, path, method string) bool {
	c := p.site.consumers
	c.mu.Lock()
	if len(c.fronts) == 0 {
		c.mu.Unlock()
		return false
	}
	front := c.fronts[rand.IntN(len(c.fronts))]
	c.mu.Unlock()
	id := fmt.Sprintf("p%08x", p.nextID.Add(1))
	ctx, cancel := context.WithTimeout(ctx, plainDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+path+id, nil)
	if err != nil {
		return false
	}
	req.Host = routeHost
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Request-Deadline", strconv.FormatInt(plainDeadline.Milliseconds(), 10))
	p.site.rec.printf("sent %s %s to %s", id, path, front)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		p.site.rec.printf("answer %s: none, %v", id, err)
		return false
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	p.site.rec.printf("answer %s: status %d, %d bytes, %v", id, resp.StatusCode, n, err)
	return resp.StatusCode == http.StatusOK && err == nil
}

// watchMemory ends the process of a machine when it takes more memory than its settings allow, as the platform does.
func (p *plainService) watchMemory(ctx context.Context, h *host) {
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		kb := h.residentKB()
		if kb <= memoryKB {
			continue
		}
		p.site.rec.say("%s takes %d kB of %d kB and is ended", h.name, kb, memoryKB)
		p.mu.Lock()
		p.kills[h.name]++
		p.mu.Unlock()
		done := h.ended()
		h.signal(syscall.SIGKILL)
		<-done
		time.Sleep(restartDelay)
		if err := h.start(); err != nil {
			p.site.rec.say("restart of %s failed: %v", h.name, err)
			return
		}
	}
}

// residentKB returns the resident memory of the machine's process in kB.
func (h *host) residentKB() int {
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(v), "kB")))
			return n
		}
	}
	return 0
}
