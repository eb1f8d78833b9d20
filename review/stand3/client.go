package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// dialTime is how long consumers wait for a new channel.
const dialTime = time.Second

type (
	// stream is one response to a consumer, over all its attempts.
	stream struct {
		site     *site
		model    string // with the adapter; streamModel if it is empty
		total    int
		deadline time.Time
		events   []event
		attempts []*attempt

		mu   sync.Mutex
		conn net.Conn // of the current attempt
	}

	event struct {
		n       int
		version string
		attempt *attempt
	}

	attempt struct {
		id        string
		host      *host
		after     int // last event that the consumer had
		sent      time.Time
		hostStart time.Time // of the process that got it
		status    int       // 0 without an answer
		got       int       // number of events
		wait      time.Duration
	}
)

var attempts atomic.Int64

func (s *stream) lastEvent() int {
	if len(s.events) == 0 {
		return 0
	}
	return s.events[len(s.events)-1].n
}

func (s *stream) complete() bool { return s.lastEvent() == s.total }

// try sends one attempt to a host and reads its events; it takes the stream up if an event has come.
func (s *stream) try(ctx context.Context, h *host) *attempt {
	a := &attempt{
		id: fmt.Sprintf("%016x", attempts.Add(1)), host: h, after: s.lastEvent(), sent: time.Now(),
		hostStart: h.startedAt(),
	}
	s.attempts = append(s.attempts, a)
	s.send(ctx, a)
	s.site.record.add("%s after event %d at %s: status %d, %d events", a.id, a.after, h.name, a.status, a.got)
	return a
}

func (s *stream) send(ctx context.Context, a *attempt) {
	d := net.Dialer{Timeout: dialTime}
	conn, err := d.DialContext(ctx, "tcp4", a.host.front)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(s.deadline)
	s.mu.Lock()
	s.conn = conn
	s.mu.Unlock()
	if _, err := io.WriteString(conn, s.request(a)); err != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.status = resp.StatusCode
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.wait = time.Duration(seconds * float64(time.Second))
	}
	if resp.StatusCode == http.StatusOK {
		s.readEvents(bufio.NewReader(resp.Body), a)
	}
}

// readEvents reads events until the answer ends.
func (s *stream) readEvents(br *bufio.Reader, a *attempt) {
	e := event{attempt: a}
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			e.n, _ = strconv.Atoi(line[len("id: "):])
		case strings.HasPrefix(line, "data: "):
			e.version = line[len("data: "):]
		case line == "" && e.n > 0:
			s.events = append(s.events, e)
			a.got++
			e = event{attempt: a}
		}
	}
}

// request returns the request of an attempt.
func (s *stream) request(a *attempt) string {
	var b strings.Builder
	body, model := "prompt of "+s.attempts[0].id, cmp.Or(s.model, streamModel)
	fmt.Fprintf(&b, "POST %sa HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nRequest-Deadline: %d\r\nModel: %s\r\n",
		streamPath, routeHost, a.id, time.Until(s.deadline).Milliseconds(), model)
	fmt.Fprintf(&b, "Token-Count: 120,%d\r\nPrompt-Prefix: 5c1e07a2:80,%s:40\r\nContent-Length: %d\r\n", s.total,
		s.attempts[0].id, len(body))
	if a.after > 0 {
		fmt.Fprintf(&b, "Last-Event-Id: %d\r\nResumes: %s\r\n", a.after, s.events[0].attempt.id)
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

// lose resets the channel of the current attempt.
func (s *stream) lose() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if tc, ok := s.conn.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
		_ = tc.Close()
	}
}

// inTouch reports whether the process that got the attempt had run for contactTime.
func (a *attempt) inTouch() bool { return a.sent.Sub(a.hostStart) >= contactTime }
