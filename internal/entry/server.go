package entry

import (
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/creds"
	"github.com/figreel/figreel/internal/h1"
	"github.com/figreel/figreel/internal/hedge"
	"github.com/figreel/figreel/internal/mem"
	"github.com/figreel/figreel/internal/notice"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/topo"
)

// hashShift leaves the bits of a hash that a floating-point number holds exactly.
const hashShift = 11

// Server is the HTTP handler for calls; its exported fields are set before use.
type Server struct {
	Headers     Headers
	ParseLoad   ParseLoad   // nil if upstreams do not state their load
	ParseNotice ParseNotice // nil if upstreams do not state which calls they take
	Notices     *notice.Table
	ParseSpec   ParseSpec
	StartCheck  StartCheck // nil if connections need no check
	Domain      string     // failure domain of this host
	Config      func() *topo.Config
	Keys        *creds.Keys // nil if calls need no keys
	Pool        *h1.Pool
	Tickets     TicketClient
	Quarantine  Quarantine // nil if there is none
	Quotas      Quotas     // nil if there are none
	Balancer    *Balancer
	RetryBudget RetryBudget
	Hedges      *hedge.Policy // nil if no call gets a second attempt beside the first
	// RequestMemory and ResponseMemory bound what is held of all requests and of all responses; nil does not.
	RequestMemory, ResponseMemory *mem.Budget
	Stats                         *stats.Set
	Log                           zerolog.Logger
	// Stopping reports whether responses close their connections, and whether new calls are rejected.
	Stopping func() (closing, rejecting bool)

	inFlight atomic.Int64
	endOnce  sync.Once
	end      context.Context // done when all calls must end
	endCalls context.CancelFunc
}

// load returns the load that an upstream states in its response, or nil. A malformed statement is counted and ignored.
func (s *Server) load(h http.Header) *topo.Load {
	if s.ParseLoad == nil {
		return nil
	}
	load, err := s.ParseLoad(h)
	if err != nil {
		s.Stats.CountEvent("load_malformed")
		s.Log.Debug().Err(err).Msg("stated load ignored")
		return nil
	}
	return load
}

// applyNotice records and returns what an upstream states in its response about the calls that it takes.
func (s *Server) applyNotice(sent time.Time, id topo.Instance, res *h1.Response) topo.Notice {
	if s.ParseNotice == nil {
		return topo.Notice{}
	}
	n := s.ParseNotice(res.Status, res.Header)
	s.Notices.Apply(time.Now(), sent, id, n)
	return n
}

// call is the state of one call of a caller.
type call struct {
	s                *Server
	ctx              context.Context
	w                http.ResponseWriter
	r                *http.Request
	id               string
	route            *topo.Route
	service          string
	workspace        *topo.Workspace // workspace of the caller's key, or nil
	keyed            bool            // the configuration has workspaces
	spec             topo.CallSpec
	body             []byte
	request          mem.Share // what is held of the request
	response         mem.Share // what is held of responses
	header           http.Header
	start            time.Time
	deadline         time.Time
	attempts         int
	tried            []string
	hedgeDelay       time.Duration // after which an attempt is late; 0 if it gets no second one beside it
	hedge            string        // how the newest second attempt ended
	hedgeRefused     string        // why the newest attempt that was late got no second one
	mayHaveExecuted  bool          // an upstream may have executed some attempt
	fallback         *h1.Response  // error response of an upstream, relayed if no further attempt is possible
	fallbackBody     []byte
	headerSent       bool // the response header has been sent to the caller
	lastEventID      string
	takesUp          bool           // the caller takes a stream up
	resumes          string         // id of the attempt that began it, or empty
	software         string         // software version whose events the caller has, empty before the first one
	delayedBy        string         // why no upstream took the call at first
	rejection        sched.Decision // of the scheduler; the zero value if it rejected no attempt
	grant            sched.Grant
	timeToGrant      time.Duration // from the start to the last grant
	firstEventSent   bool          // the current attempt has sent its first event
	timeToFirstEvent time.Duration // from the start to the caller's first event
	lastEventAt      time.Time
	maxGap           time.Duration // longest gap between events
	maxGapAt         time.Duration // start of that gap, since the start of the call
	aborted          bool          // the caller's connection is to be reset
	truncated        bool          // a response broke off while it was passed on
}

// ServeHTTP serves one call; it panics with http.ErrAbortHandler to reset the connection of a truncated response.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	c := &call{s: s, w: w, r: r, start: time.Now(), id: r.Header.Get(s.Headers.ID)}
	c.request.Budget, c.response.Budget = s.RequestMemory, s.ResponseMemory
	defer c.request.Release()
	defer c.response.Release()
	closing, rejecting := s.Stopping()
	if closing {
		w.Header().Set("Connection", "close")
	}
	if !c.admit(rejecting) {
		c.finish()
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	stop := context.AfterFunc(s.ending(), cancel)
	defer stop()
	c.ctx = ctx
	s.RetryBudget.Earn(c.service)
	if c.spec.Model != "" {
		c.serveModel()
	} else {
		c.servePlain()
	}
	c.finish()
}

// finish resets the caller's connection if the call was aborted, so that a truncated response does not look complete.
func (c *call) finish() {
	if c.aborted {
		panic(http.ErrAbortHandler)
	}
}

// EndCalls ends all calls in flight, because the process is about to exit. Those that have got nothing of a response
// are rejected, or told that their outcome is unknown if an upstream may have executed them.
func (s *Server) EndCalls() {
	s.ending()
	s.endCalls()
}

// ending returns the context that is done when all calls must end.
func (s *Server) ending() context.Context {
	s.endOnce.Do(func() { s.end, s.endCalls = context.WithCancel(context.Background()) })
	return s.end
}

// timeoutReason returns why the context of the call is done.
func (c *call) timeoutReason() string {
	if c.s.ending().Err() != nil {
		return reasonStopping
	}
	return reasonDeadline
}

// InFlight returns the number of calls that have not ended.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// admit reads and checks the call, and reports whether it can be served; if not, it has sent the response.
func (c *call) admit(rejecting bool) bool {
	cfg := c.s.Config()
	if cfg == nil {
		c.reject(reasonNoConfig, defaultRetryAfter)
		return false
	}
	target := c.r.RequestURI
	path, _, _ := strings.Cut(target, "?")
	c.route = cfg.Match(withoutPort(c.r.Host), path)
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
	if rejecting {
		c.reject(reasonStopping, 0)
		return false
	}
	return c.checkKey() && c.prepare(cfg)
}

func (c *call) readBody(limit int64) bool {
	body, err := c.request.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit), limit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, mem.ErrNoMemory):
		c.reject(reasonMemory, defaultRetryAfter)
		return false
	case errors.As(err, &tooLarge):
		c.fail(http.StatusRequestEntityTooLarge, reasonTooLarge)
		return false
	case err != nil:
		// A request that was not received completely gets no response.
		c.logEnd(0, reasonCallerLeft)
		c.aborted = true
		return false
	}
	c.body = body
	return true
}

func (c *call) prepare(cfg *topo.Config) bool {
	c.drawService()
	c.header = forwardedHeader(c.r.Header, c.s.Headers)
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
	if cfg.Services[c.service].Engine != nil {
		spec, err := c.s.ParseSpec(c.r.Header)
		if err != nil {
			c.fail(http.StatusBadRequest, reasonBadRequest)
			return false
		}
		c.spec = spec
	}
	c.spec.Request = requestHash(c.r, c.body)
	return true
}

// drawService draws the service of the call from those of its route, by the id of the call. A take-up is drawn by the
// id of the attempt that began the stream, so any host draws the service that it began at, unless the split has
// changed.
func (c *call) drawService() {
	c.noteTakeUp()
	id := c.id
	if c.takesUp && c.resumes != "" {
		id = c.resumes
	}
	c.service = c.route.PickService(float64(xxhash.Sum64String(id)>>hashShift) / (1 << (64 - hashShift)))
}

// requestHash returns what identifies a request that comes again. Headers are left out, because some differ each time,
// and so is the address of the caller, who may come from another one.
func requestHash(r *http.Request, body []byte) uint64 {
	h := xxhash.New()
	for _, part := range []string{r.Method, withoutPort(r.Host), r.RequestURI} {
		_, _ = h.WriteString(part + "\x00")
	}
	_, _ = h.Write(body)
	return max(h.Sum64(), 1)
}

// upstreamRequest returns the request of the next attempt, with the remaining time as its deadline.
func (c *call) upstreamRequest(addr, id string) *h1.Request {
	h := c.header.Clone()
	left := time.Until(c.deadline)
	h.Set(c.s.Headers.Deadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	h.Set(c.s.Headers.Instance, id)
	if c.spec.Model != "" {
		c.setPriority(h)
	}
	c.setWorkspace(h)
	if c.lastEventID != "" {
		h.Set(c.s.Headers.LastEventID, c.lastEventID)
	}
	return &h1.Request{
		Addr: addr, Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: h, Body: c.body, ID: c.id,
	}
}

// reject responds that the call has not been executed, and after what delay the caller may retry.
func (c *call) reject(reason string, delay time.Duration) {
	c.s.Stats.CountRejection(reason)
	c.w.Header().Set(c.s.Headers.RetryAfter, strconv.FormatFloat(delay.Seconds(), 'f', 3, 64))
	status := http.StatusServiceUnavailable
	if reason == sched.ReasonOverQuota {
		status = http.StatusTooManyRequests
	}
	c.respond(status, reason)
}

// fail responds with a status that does not say whether the call has been executed.
func (c *call) fail(status int, reason string) {
	c.s.Stats.CountEvent("failed/" + reason)
	c.respond(status, reason)
}

// respond sends a response of this host, or aborts one whose header has been sent.
func (c *call) respond(status int, reason string) {
	if c.headerSent {
		c.logEnd(0, reason)
		c.aborted = true
		return
	}
	c.w.Header().Set(c.s.Headers.ID, c.id)
	c.w.Header().Set("Content-Type", "text/plain")
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, reason+"\n")
	c.logEnd(status, reason)
}

// relayResponse sends an upstream's complete response to the caller. The upstream may have executed the call, so a
// status that says otherwise to the caller is replaced.
func (c *call) relayResponse(status int, header http.Header, body []byte) {
	if saysNotExecuted(status) {
		c.s.Log.Warn().Str("call", c.id).Strs("upstreams", c.tried).Int("upstream_status", status).
			Msg("upstream does not state whether it has executed the call")
		c.fail(http.StatusBadGateway, reasonUnclear)
		return
	}
	endLimit := c.limitWrites()
	defer endLimit()
	copyHeader(c.w.Header(), header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(status)
	_, _ = io.Copy(c.w, bytes.NewReader(body))
	c.logEnd(status, "")
}

func (c *call) logEnd(status int, reason string) {
	e := c.s.Log.Info().Str("call", c.id).Int("status", status).Dur("took_ms", time.Since(c.start)).
		Int("attempts", c.attempts).Strs("upstreams", c.tried)
	if c.route != nil {
		e = e.Str("route", c.route.Name)
	}
	if c.workspace != nil {
		e = e.Str("workspace", c.workspace.Name)
	}
	if c.spec.Model != "" {
		e = e.Str("model", c.spec.Model).Str("adapter", c.spec.Adapter).Int("prompt", c.spec.PromptTokens)
	}
	if c.grant.Engine != "" {
		e = e.Dur("granted_ms", c.timeToGrant).Uint64("ticket", c.grant.Ticket).Int("read", c.grant.PrefillTokens).
			Dur("expected_ms", c.grant.PrefillTime).Int("streams", c.grant.Streams).
			Float64("speed", math.Round(c.grant.Speed*100)/100)
	}
	if c.hedge != "" {
		e = e.Str("hedge", c.hedge)
	}
	if c.hedgeRefused != "" {
		e = e.Str("hedge_refused", c.hedgeRefused)
	}
	if c.takesUp {
		e = e.Str("resumes", c.resumes)
	}
	if c.grant.Software != "" {
		e = e.Str("software", c.grant.Software)
	}
	if c.delayedBy != "" {
		e = e.Str("delayed_by", c.delayedBy)
	}
	if c.rejection.Position > 0 || c.rejection.WorkAhead > 0 {
		e = e.Int("position", c.rejection.Position).Float64("work_ahead", c.rejection.WorkAhead)
	}
	if c.headerSent {
		e = e.Dur("first_ms", c.timeToFirstEvent).Dur("pause_ms", c.maxGap).Dur("pause_at_ms", c.maxGapAt)
	}
	if reason != "" {
		e = e.Str("reason", reason)
	}
	e.Msg("call ended")
}

// callerLeft reports whether the caller has closed its connection.
func (c *call) callerLeft() bool { return c.r.Context().Err() != nil }

func withoutPort(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}
