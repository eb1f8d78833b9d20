package main

import (
	"bufio"
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
	"time"
)

const (
	// partEngines is the number of engines of the site file.
	partEngines, partHosts = 18, 3
	// maxHead is the limit of a head in the configuration, and usedHead what the requests use of it.
	maxHead, usedHead = 16384, 16000
	// partRequests is the number of requests a second: what the sheet says of streams, in a burst of 2.8 times as many.
	partRequests = 170
	partTime     = 95 * time.Second
	memoryMB     = 284
	restartDelay = time.Second
	// Rule Fault allows fewer than maxEnds ends of processes on fewer than minMachines machines.
	maxEnds, minMachines = 3, 2
	// otherParts is the number of parts of a request without the disruption.
	otherParts = 3
)

// playParts sends requests within the limits whose prompts have many parts of one token. A process that exceeds the
// memory of its machine is killed and started again, as the platform does it.
func playParts(r *record) (broken bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	versions := make([]string, partEngines)
	for i := range versions {
		versions[i] = oldVersion
	}
	s, err := newSite(ctx, r, partHosts, versions)
	defer s.end()
	if err != nil {
		return false, err
	}
	var sent, served, largest atomic.Int64
	playing, endPlay := context.WithTimeout(ctx, partTime)
	defer endPlay()
	kills := make([]int, len(s.fleet.hosts))
	var platform sync.WaitGroup
	for i, h := range s.fleet.hosts {
		platform.Go(func() { kills[i] = h.limitMemory(playing, r) })
	}
	tick := time.NewTicker(time.Second / partRequests)
	defer tick.Stop()
	for playing.Err() == nil {
		<-tick.C
		s.consumers.wg.Go(func() {
			list := s.consumers.addresses()
			if len(list) == 0 {
				return
			}
			addr := list[rand.IntN(len(list))]
			n, status, err := sendParts(addr)
			sent.Add(1)
			largest.Store(max(largest.Load(), int64(n)))
			if status == http.StatusOK && err == nil {
				served.Add(1)
			}
			r.note("request of %d bytes at %s: status %d, %v", n, addr, status, err)
		})
	}
	platform.Wait()
	s.consumers.wg.Wait()
	r.say("%d requests sent, %d served whole, the largest with %d bytes, a head may have %d", sent.Load(),
		served.Load(), largest.Load(), maxHead)
	machines := 0
	for i, h := range s.fleet.hosts {
		r.say("host %s exceeded its memory %d times", h.name, kills[i])
		if kills[i] >= maxEnds {
			machines++
		}
	}
	if served.Load() == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return machines >= minMachines, nil
}

// limitMemory kills the process when it exceeds the memory of its machine, and starts it again, until ctx ends. It
// returns how often.
func (h *host) limitMemory(ctx context.Context, r *record) (kills int) {
	for i := 0; ctx.Err() == nil; i++ {
		mb := h.memory()
		if i%10 == 0 {
			r.note("host %s uses %.0f MB", h.name, mb)
		}
		if mb > memoryMB {
			kills++
			r.note("host %s uses %.0f MB of %d and is killed", h.name, mb, memoryMB)
			h.kill()
			pause(ctx, restartDelay)
			if err := h.start(); err != nil {
				r.note("host %s does not start: %v", h.name, err)
				return kills
			}
		}
		pause(ctx, 100*time.Millisecond)
	}
	return kills
}

// sendParts sends one request and reads its answer.
func sendParts(addr string) (size, status int, err error) {
	nc, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(streamDeadline))
	var parts strings.Builder
	n := 0
	for parts.Len() < usedHead-500 {
		if n > 0 {
			parts.WriteByte(',')
		}
		fmt.Fprintf(&parts, "%x:1", rand.Uint32()>>12)
		if n++; !trouble() && n == otherParts {
			break
		}
	}
	head := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %016x\r\nModel: %s\r\nToken-Count: %d,150\r\n"+
		"Prompt-Prefix: %s\r\nRequest-Deadline: %d\r\nContent-Length: 4\r\n\r\n",
		streamPath, routeHost, rand.Uint64(), modelName, n, parts.String(), streamDeadline.Milliseconds())
	if _, err := io.WriteString(nc, head+"work"); err != nil {
		return len(head), 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return len(head), 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return len(head), resp.StatusCode, err
}

// memory returns the resident memory of the process in MB, 0 if it does not run.
func (h *host) memory() float64 {
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return float64(kb) / 1024
		}
	}
	return 0
}
