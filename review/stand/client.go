package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	routeHost = "desk.example"
	routePath = "/desk/"
	// deadline is how long a consumer waits for its answer, attempts included.
	deadline = 4 * time.Second
)

type (
	// subject is a model or an adapter that consumers ask for.
	subject struct {
		name        string
		asked       int
		served      int
		first, last time.Duration
	}

	// consumers send requests to the addresses that the system states, as the users' pages say.
	consumers struct {
		fleet  *fleet
		rec    *record
		nextID atomic.Int64

		mu       sync.Mutex
		fronts   []string
		subjects map[string]*subject
		wg       sync.WaitGroup
	}
)

func newConsumers(f *fleet, rec *record) *consumers {
	return &consumers{fleet: f, rec: rec, subjects: make(map[string]*subject)}
}

// resolve asks the machines for the addresses to use, every second until ctx ends.
func (c *consumers) resolve(ctx context.Context) {
	for ctx.Err() == nil {
		h := c.fleet.hosts[rand.IntN(len(c.fleet.hosts))]
		if c.resolveAt(ctx, h) {
			time.Sleep(time.Second)
		}
	}
}

func (c *consumers) resolveAt(ctx context.Context, h *host) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s/figreel/resolve?name=%s&region=r&zone=%s", h.directory, routeHost, h.zone)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return false
	}
	defer resp.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(resp.Body).Decode(&body) != nil || len(body.Addresses) == 0 {
		return false
	}
	c.mu.Lock()
	c.fronts = body.Addresses
	c.mu.Unlock()
	return true
}

// demand asks for each subject once in each interval until ctx ends, and waits for the answers.
func (c *consumers) demand(ctx context.Context, interval time.Duration, names []string) {
	for ctx.Err() == nil {
		for _, name := range names {
			c.wg.Go(func() { c.ask(name) })
			time.Sleep(interval / time.Duration(len(names)))
		}
	}
	c.wg.Wait()
}

// ask sends one request, and once more after a refusal, and counts the outcome for its subject.
func (c *consumers) ask(name string) {
	start := time.Now()
	c.mu.Lock()
	s := c.subjects[name]
	if s == nil {
		s = &subject{name: name, first: time.Since(c.rec.start)}
		c.subjects[name] = s
	}
	s.asked++
	s.last = time.Since(c.rec.start)
	c.mu.Unlock()
	for try := range 2 {
		left := deadline - time.Since(start)
		ok, wait := c.send(name, left)
		if ok {
			c.mu.Lock()
			s.served++
			c.mu.Unlock()
			return
		}
		if try > 0 || wait < 0 {
			return
		}
		time.Sleep(min(wait, left/3))
	}
}

// send sends one attempt. It reports whether the answer was a complete success, and otherwise after what time to try
// again, or a negative time if that is not allowed.
func (c *consumers) send(name string, left time.Duration) (ok bool, retry time.Duration) {
	c.mu.Lock()
	if len(c.fronts) == 0 {
		c.mu.Unlock()
		return false, 0
	}
	front := c.fronts[rand.IntN(len(c.fronts))]
	c.mu.Unlock()
	id := fmt.Sprintf("a%08x", c.nextID.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	url := "http://" + front + routePath + "2f"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("prompt"))
	if err != nil {
		return false, -1
	}
	req.Host = routeHost
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Model", name)
	req.Header.Set("Token-Count", "120,5")
	req.Header.Set("Prompt-Prefix", "5c1e07a2:80,"+strconv.FormatInt(c.nextID.Add(1), 16)+":40")
	req.Header.Set("Request-Deadline", strconv.FormatInt(left.Milliseconds(), 10))
	c.rec.printf("sent %s for %s to %s", id, name, front)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		c.rec.printf("answer %s: none, %v", id, err)
		return false, 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	whole := err == nil && strings.Count(string(body), "\n\n") == streamLen
	c.rec.printf("answer %s: status %d, whole stream %t", id, resp.StatusCode, whole)
	if resp.StatusCode == http.StatusOK {
		return whole && resp.Header.Get("Server-Signature") != "", 0
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return false, time.Duration(seconds * float64(time.Second))
}

// starved returns the subjects that were asked for four times or more over 8 s and never served, and how many were
// asked for so often.
func (c *consumers) starved() (never []string, asked int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.subjects {
		if s.asked < 4 || s.last-s.first < 8*time.Second {
			continue
		}
		asked++
		if s.served == 0 {
			never = append(never, s.name)
		}
	}
	return never, asked
}
