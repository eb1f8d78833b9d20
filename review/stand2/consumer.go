package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	routeHost = "desk.example"
	// streamDeadline is how long a consumer waits for a stream; streamGap is the gap after which it leaves.
	streamDeadline = 12 * time.Second
	streamGap      = 8 * time.Second
)

type (
	// consumers send streams and take them up again, as the pages say.
	consumers struct {
		fleet  *fleet
		record *record
		retry  time.Duration // wait before a retry after a rejection
		gap    time.Duration // after which a consumer leaves its stream
		events [2]int        // least and largest number of events of a stream

		wg      sync.WaitGroup
		mu      sync.Mutex
		streams []*stream
		frozen  map[string][]time.Time // when hosts were suspended, by their front address
	}

	// stream is what a consumer has got of one stream over its tries.
	stream struct {
		first    string // id of the first attempt
		total    int
		started  time.Time
		last     int    // newest event
		begun    string // id of the attempt that brought the first event
		versions []string
		wrong    bool // an event is missing or came twice
		complete bool
		tries    []*try
	}

	// try is one attempt of a consumer.
	try struct {
		id       string
		host     string
		sent     time.Time
		takesUp  bool // a stream that has brought an event
		events   int
		status   int
		complete bool
		answer   string // reason of a rejection
	}
)

// contactTime is how long a host must have run undisturbed to be in touch.
const contactTime = 3 * time.Second

// markFrozen records that a host is suspended from now on.
func (c *consumers) markFrozen(front string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozen == nil {
		c.frozen = make(map[string][]time.Time)
	}
	c.frozen[front] = append(c.frozen[front], time.Now())
}

// inTrouble reports whether the host of a try was not in touch as the try was sent or a moment later.
func (c *consumers) inTrouble(t *try) bool {
	for _, at := range c.frozen[t.host] {
		if since := t.sent.Sub(at); since > -contactTime && since < longFreeze+contactTime {
			return true
		}
	}
	return false
}

// addresses asks the hosts where to connect.
func (c *consumers) addresses() []string {
	for _, i := range rand.Perm(len(c.fleet.hosts))[:min(3, len(c.fleet.hosts))] {
		h := c.fleet.hosts[i]
		q := url.Values{"name": {routeHost}, "region": {"r"}, "zone": {h.zone}}
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get("http://" + h.directory + "/figreel/resolve?" + q.Encode())
		if err != nil {
			continue
		}
		var body struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&body)
		_ = resp.Body.Close()
		if err == nil && len(body.Addresses) > 0 {
			return body.Addresses
		}
	}
	return nil
}

// demand starts a stream at each interval until ctx ends.
func (c *consumers) demand(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		c.wg.Go(c.consume)
		pause(ctx, interval)
	}
}

// consume sends one stream, with one retry.
func (c *consumers) consume() {
	s := &stream{total: c.events[0] + rand.IntN(c.events[1]-c.events[0]), started: time.Now()}
	var failed []string
	for range 2 {
		t := c.try(s, failed)
		if t == nil {
			break
		}
		failed = append(failed, t.host)
		if t.complete {
			s.complete = true
			break
		}
		if time.Since(s.started) > streamDeadline-time.Second {
			break
		}
		if t.status == http.StatusServiceUnavailable {
			time.Sleep(c.retry)
		}
	}
	c.mu.Lock()
	c.streams = append(c.streams, s)
	c.mu.Unlock()
}

func (c *consumers) try(s *stream, failed []string) *try {
	list := c.addresses()
	usable := slices.DeleteFunc(slices.Clone(list), func(a string) bool { return slices.Contains(failed, a) })
	if len(usable) == 0 {
		usable = list
	}
	if len(usable) == 0 {
		return nil
	}
	t := &try{id: fmt.Sprintf("%016x", rand.Uint64()), host: usable[rand.IntN(len(usable))], sent: time.Now()}
	t.takesUp = s.last > 0
	if s.first == "" {
		s.first = t.id
	}
	s.tries = append(s.tries, t)
	err := c.exchange(s, t)
	c.record.note("try %s of %s at %s: status %d, %d events up to %d of %d, %v", t.id, s.first, t.host, t.status,
		t.events, s.last, s.total, err)
	return t
}

// exchange sends one request on a new connection and reads its events.
func (c *consumers) exchange(s *stream, t *try) error {
	nc, err := net.DialTimeout("tcp4", t.host, time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = nc.Close() }()
	left := streamDeadline - time.Since(s.started)
	var b strings.Builder
	fmt.Fprintf(&b, "POST %sx HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nModel: %s\r\nToken-Count: 400,%d\r\n"+
		"Prompt-Prefix: a1:100,b2:50,%x:250\r\nRequest-Deadline: %d\r\nContent-Length: 4\r\n",
		streamPath, routeHost, t.id, modelName, s.total, rand.Uint32(), left.Milliseconds())
	if t.takesUp {
		fmt.Fprintf(&b, "Last-Event-Id: %d\r\nResumes: %s\r\n", s.last, s.begun)
	}
	b.WriteString("\r\nwork")
	if _, err := io.WriteString(nc, b.String()); err != nil {
		return err
	}
	_ = nc.SetReadDeadline(time.Now().Add(min(c.gap, left)))
	br := bufio.NewReader(nc)
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if t.status = resp.StatusCode; t.status != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 100))
		t.answer = strings.TrimSpace(string(text))
		return fmt.Errorf("answer %s", t.answer)
	}
	events := bufio.NewReader(resp.Body)
	for {
		n, version, err := readEvent(events)
		if errors.Is(err, io.EOF) {
			t.complete = s.last == s.total
			return nil
		}
		if err != nil {
			return err
		}
		s.add(t, n, version)
		_ = nc.SetReadDeadline(time.Now().Add(min(c.gap, streamDeadline-time.Since(s.started))))
	}
}

// add records an event.
func (s *stream) add(t *try, n int, version string) {
	if s.last == 0 {
		s.begun = t.id
	}
	s.wrong = s.wrong || n != s.last+1
	s.last = n
	t.events++
	if !slices.Contains(s.versions, version) {
		s.versions = append(s.versions, version)
	}
}

// readEvent reads the next event. A stream that ends within an event has been broken off.
func readEvent(br *bufio.Reader) (n int, version string, err error) {
	for {
		line, err := br.ReadString('\n')
		if errors.Is(err, io.EOF) && (n > 0 || line != "") {
			return 0, "", io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, "", err
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "" && n > 0:
			return n, version, nil
		case strings.HasPrefix(line, "id: "):
			n, _ = strconv.Atoi(line[len("id: "):])
		case strings.HasPrefix(line, "data: "):
			version, _, _ = strings.Cut(line[len("data: "):], " ")
		}
	}
}
