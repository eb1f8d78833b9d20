package entry

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/h1"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/topo"
)

// Server is the handler for calls; its fields are set before use.
type Server struct {
	Headers     Headers
	ParseSpec   ParseSpec
	Domain      string // failure domain of this host
	Config      func() *topo.Config
	Pool        *h1.Pool
	Tickets     TicketClient
	Balancer    *Balancer
	RetryBudget RetryBudget
	Stats       *stats.Set
	Log         zerolog.Logger
	// Stopping tells whether answers close their connections, and whether new calls are refused.
	Stopping func() (closing, refusing bool)

	inFlight atomic.Int64
}

// call is one attempt of a caller on its way.
type call struct {
	s         *Server
	ctx       context.Context
	w         http.ResponseWriter
	r         *http.Request
	id        string
	route     *topo.Route
	service   string
	demand    topo.CallSpec
	body      []byte
	header    http.Header
	start     time.Time
	deadline  time.Time
	attempts  int
	tried     []string
	mayRun    bool         // some attempt may have run
	spare     *h1.Response // an error of an upstream, for when no other one can be tried
	spareBody []byte
	begun     bool // the answer's header is sent
	lastID    string
	granted   sched.Grant
	grantedIn time.Duration // until the last grant
	first     bool          // the current attempt has sent an event
	firstIn   time.Duration // until the caller's first event
	eventAt   time.Time
	longest   time.Duration // pause between events
	longestAt time.Duration // since the start
	aborted   bool          // the caller's connection is to be broken off
}

// ServeHTTP takes one call to its answer.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	c := &call{s: s, w: w, r: r, start: time.Now(), id: r.Header.Get(s.Headers.ID)}
	closing, refusing := s.Stopping()
	if closing {
		w.Header().Set("Connection", "close")
	}
	if !c.admit(refusing) {
		c.end()
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.ctx = ctx
	s.RetryBudget.Earn(c.service)
	if c.demand.Model != "" {
		c.serveModel()
	} else {
		c.servePlain()
	}
	c.end()
}

// end breaks the caller's connection off where the answer cannot be completed.
func (c *call) end() {
	if c.aborted {
		panic(http.ErrAbortHandler)
	}
}

// InFlight returns the number of calls without a whole answer.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// admit reads the call and answers it when it cannot be served.
func (c *call) admit(refusing bool) bool {
	cfg := c.s.Config()
	if cfg == nil {
		c.refuse(reasonNoConfig, retryAfter)
		return false
	}
	target := c.r.RequestURI
	path, _, _ := strings.Cut(target, "?")
	c.route = cfg.Match(hostOnly(c.r.Host), path)
	if c.route == nil {
		c.fail(http.StatusNotFound, reasonNoRoute)
		return false
	}
	if c.id == "" {
		c.fail(http.StatusBadRequest, reasonBadRequest)
		return false
	}
	if !c.readBody(cfg.Limits.BodyBytes) {
		return false
	}
	if refusing {
		c.refuse(reasonStopping, 0)
		return false
	}
	return c.prepare(cfg)
}

func (c *call) readBody(limit int64) bool {
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		c.fail(http.StatusRequestEntityTooLarge, reasonTooLarge)
		return false
	case err != nil:
		// Nothing can be answered to a request whose end never came.
		c.log(0, reasonCallerLeft)
		c.aborted = true
		return false
	}
	c.body = body
	return true
}

func (c *call) prepare(cfg *topo.Config) bool {
	c.service = c.route.PickService(rand.Float64())
	c.header = forwarded(c.r.Header, c.s.Headers)
	c.deadline = c.start.Add(c.route.Timeout)
	if v := c.r.Header.Get(c.s.Headers.Deadline); v != "" {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || n < 0 {
			c.fail(http.StatusBadRequest, reasonBadRequest)
			return false
		}
		if end := c.start.Add(time.Duration(n * float64(time.Millisecond))); end.Before(c.deadline) {
			c.deadline = end
		}
	}
	if cfg.Services[c.service].Engine == nil {
		return true
	}
	d, err := c.s.ParseSpec(c.r.Header)
	if err != nil {
		c.fail(http.StatusBadRequest, reasonBadRequest)
		return false
	}
	c.demand = d
	return true
}

// request builds the next attempt for an upstream.
func (c *call) request(addr, id string) *h1.Request {
	h := c.header.Clone()
	left := time.Until(c.deadline)
	h.Set(c.s.Headers.Deadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	h.Set(c.s.Headers.Instance, id)
	if c.demand.Model != "" {
		h.Set(c.s.Headers.Priority, strconv.Itoa(min(c.route.Priority, maxPriority)))
	}
	if c.lastID != "" {
		h.Set(c.s.Headers.LastEventID, c.lastID)
	}
	return &h1.Request{
		Addr: addr, Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: h, Body: c.body, ID: c.id,
	}
}

// maxPriority is the least urgent priority that engines know.
const maxPriority = 9

// refuse tells the caller that the call has not run and when to come back.
func (c *call) refuse(reason string, after time.Duration) {
	c.s.Stats.CountRejection(reason)
	c.w.Header().Set(c.s.Headers.RetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	c.own(http.StatusServiceUnavailable, reason)
}

// fail answers with a status that promises nothing about the call.
func (c *call) fail(status int, reason string) {
	c.s.Stats.CountEvent("failed/" + reason)
	c.own(status, reason)
}

func (c *call) own(status int, reason string) {
	if c.begun {
		c.log(0, reason)
		c.aborted = true
		return
	}
	c.w.Header().Set(c.s.Headers.ID, c.id)
	c.w.Header().Set("Content-Type", "text/plain")
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, reason+"\n")
	c.log(status, reason)
}

// relay sends an upstream's whole answer to the caller.
func (c *call) relay(status int, header http.Header, body []byte) {
	copyHeader(c.w.Header(), header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(status)
	_, _ = io.Copy(c.w, bytes.NewReader(body))
	c.log(status, "")
}

func (c *call) log(status int, reason string) {
	e := c.s.Log.Info().Str("call", c.id).Int("status", status).Dur("took_ms", time.Since(c.start)).
		Int("attempts", c.attempts).Strs("upstreams", c.tried)
	if c.route != nil {
		e = e.Str("route", c.route.Name)
	}
	if c.demand.Model != "" {
		e = e.Str("model", c.demand.Model).Str("adapter", c.demand.Adapter).Int("prompt", c.demand.PromptTokens)
	}
	if c.granted.Engine != "" {
		e = e.Dur("granted_ms", c.grantedIn).Uint64("ticket", c.granted.Ticket).Int("read", c.granted.PrefillTokens).
			Dur("expected_ms", c.granted.PrefillTime).Int("streams", c.granted.Streams)
	}
	if c.begun {
		e = e.Dur("first_ms", c.firstIn).Dur("pause_ms", c.longest).Dur("pause_at_ms", c.longestAt)
	}
	if reason != "" {
		e = e.Str("reason", reason)
	}
	e.Msg("call ended")
}

// gone reports whether the caller has left.
func (c *call) gone() bool { return c.r.Context().Err() != nil }

func hostOnly(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}
