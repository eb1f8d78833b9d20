package ingres

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/mem"
	"github.com/figreel/figreel/internal/stats"
)

const (
	// defaultMemory is the memory of a process whose settings state none, in bytes.
	defaultMemory = 256 << 20
	// reservedFiles is the number of descriptors that are kept for files and listeners.
	reservedFiles = 200
	// defaultDescriptors applies where the limit of the process cannot be read.
	defaultDescriptors = 1024
	// connectionShare is the share of the memory that the connections of one port may take, and connectionBytes what
	// one takes with its buffers and its goroutine.
	connectionShare = 0.15
	connectionBytes = 24 << 10
	// minConnections is the least number of connections of a port.
	minConnections = 16

	// byteCost and fieldCost are what a byte and a field of a head take at most while a request is served: the bytes in
	// a buffer and as strings, the field in two maps. A head of 64 KiB in 100 fields takes 217 KiB. opaqueCost is for
	// bytes whose fields cannot be counted because they are encrypted.
	byteCost, fieldCost, opaqueCost = 3, 256, 16
	// maxFields is the largest number of fields of a head; ordinary clients send up to 100.
	maxFields = 256
	// smallHead is what a head may take of the last quarter of the budget, so that large heads do not keep out those of
	// ordinary clients.
	smallHead     = 16 << 10
	smallHeadPart = 4

	// headWait is how long a head waits for room, and waitInterval how often it tries again.
	headWait     = time.Second
	waitInterval = 50 * time.Millisecond
	// connWait is how long a new connection waits for another one that can be closed, and crowdedWait the same if the
	// one before has waited in vain: others wait behind it.
	connWait, crowdedWait = 50 * time.Millisecond, 5 * time.Millisecond
	// connGrace and headGrace protect connections and heads that have just begun from being closed for room.
	connGrace, headGrace = 100 * time.Millisecond, 250 * time.Millisecond
	// bodyGrace and minBodyRate, in bytes per second, say which bodies are too slow if room is needed.
	bodyGrace, minBodyRate = 10 * time.Second, 1 << 10

	// logInterval is the time between two log lines about the same reason.
	logInterval = 10 * time.Second
)

// Reasons, which are also the names of counters.
const (
	closedIdle    = "client_closed_idle"    // had sent nothing, or was kept
	closedSlow    = "client_closed_slow"    // its head or its body came too slowly
	refusedConn   = "client_refused"        // no other connection could be closed
	refusedHead   = "client_head_no_room"   // the head found no room
	tooLargeHead  = "client_head_too_large" // more bytes than the limit
	tooManyFields = "client_head_fields"    // more fields than the limit
	acceptFailed  = "client_accept_failed"  // the system accepts no connection
	gaugeHeads    = "held_head_bytes"       // what all heads take
	gaugeConns    = "client_connections"    // open connections
)

// retryAfter is the number of seconds after which a refused client may come again.
const retryAfter = "1"

// Gate holds the limits of the listeners of one process; its exported fields are set before use, and its zero value has
// the defaults.
type Gate struct {
	Memory      int64      // memory of the process in bytes; 0 if it is unknown
	Descriptors int        // open files that the settings allow; 0 for the limit of the process
	Stats       *stats.Set // may be nil
	Log         zerolog.Logger

	once     sync.Once
	heads    *mem.Budget
	messages *mem.Budget

	mu     sync.Mutex // guards the fields below and those of the connections
	conns  map[*conn]struct{}
	logged map[string]*logState
}

type logState struct {
	at    time.Time
	count int
}

func (g *Gate) init() {
	g.once.Do(func() {
		if g.Memory <= 0 {
			g.Memory = defaultMemory
		}
		limit := processDescriptors()
		if g.Descriptors <= 0 || g.Descriptors > limit {
			g.Descriptors = limit
		}
		if g.Stats == nil {
			g.Stats = &stats.Set{}
		}
		g.heads, g.messages = mem.NewBudget(g.Memory, mem.HeadShare), mem.NewBudget(g.Memory, mem.MessageShare)
		g.conns, g.logged = make(map[*conn]struct{}), make(map[string]*logState)
		g.Stats.SetGaugeFunc(gaugeHeads, g.heads.Used)
		g.Stats.SetGaugeFunc(gaugeConns, func() int64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return int64(len(g.conns))
		})
	})
}

func processDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<20 {
		return defaultDescriptors
	}
	return int(limit.Cur)
}

// maxConns returns the largest number of connections of a port with a share of the descriptors.
func (g *Gate) maxConns(share float64) int {
	byDescriptors := int(share * float64(g.Descriptors-reservedFiles))
	byMemory := int(connectionShare * float64(g.Memory) / connectionBytes)
	return max(min(byDescriptors, byMemory), minConnections)
}

// Messages returns the budget for messages of other hosts while they are received.
func (g *Gate) Messages() *mem.Budget {
	g.init()
	return g.messages
}

// Report counts an event at a port, and logs it unless a line about the same was written lately.
func (g *Gate) Report(reason, port string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reportLocked(reason, port)
}

func (g *Gate) reportLocked(reason, port string) {
	name := reason + "/" + port
	g.Stats.CountEvent(name)
	l := g.logged[name]
	if l == nil {
		l = &logState{}
		g.logged[name] = l
	}
	l.count++
	if now := time.Now(); now.Sub(l.at) >= logInterval {
		line := g.Log.Warn().Str("reason", reason).Str("port", port).Int("count", l.count)
		go line.Msg("clients limited") // writing may block, and the caller holds g.mu
		l.at, l.count = now, 0
	}
}

// closeFor closes the connection that comes first among those that the filter accepts, and reports whether there was
// one. The caller holds g.mu.
func (g *Gate) closeFor(now time.Time, accepts func(*conn, order) bool) bool {
	for {
		c, o := g.first(now, accepts)
		if c == nil {
			return false
		}
		if o == idle && hasUnread(c.Conn) {
			c.since = now // its next request has arrived
			continue
		}
		reason := closedIdle
		if o == slowHead || o == slowBody {
			reason = closedSlow
		}
		g.reportLocked(reason, c.l.port.Name)
		c.remove()
		_ = c.Conn.Close()
		return true
	}
}

func (g *Gate) first(now time.Time, accepts func(*conn, order) bool) (best *conn, at order) {
	at = inUse
	for c := range g.conns {
		o := c.order(now)
		if o > at || o == inUse || !accepts(c, o) {
			continue
		}
		if o < at || c.since.Before(best.since) {
			best, at = c, o
		}
	}
	return best, at
}

// take adds to a share of the budget for heads, and reports whether there was room. The caller holds
// g.mu.
func (g *Gate) take(s *mem.Share, n int64) bool {
	if s.Held()+n > smallHead && g.heads.Used()+n > g.heads.Limit-g.heads.Limit/smallHeadPart {
		return false
	}
	return s.Take(n)
}

// reserve takes room for a head. It closes connections with slow heads and waits for a while if there is none. It
// returns false if there is none then, or if ended returns true.
func (g *Gate) reserve(s *mem.Share, n int64, self *conn, ended func() bool) bool {
	deadline := time.Now().Add(headWait)
	for {
		if ok, over := g.tryReserve(s, n, self, ended); ok || over {
			return ok
		}
		if !time.Now().Before(deadline) {
			return false
		}
		time.Sleep(waitInterval)
	}
}

func (g *Gate) tryReserve(s *mem.Share, n int64, self *conn, ended func() bool) (taken, over bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for {
		if ended() {
			return false, true
		}
		if g.take(s, n) {
			return true, false
		}
		holds := func(c *conn, o order) bool {
			return c != self && c.share.Held() > 0 && (o == slowHead || o == slowBody)
		}
		if !g.closeFor(now, holds) {
			return false, false
		}
	}
}

// headCost returns what a head takes.
func headCost(bytes, fields int) int64 { return int64(bytes)*byteCost + int64(fields)*fieldCost }

// sizeOf returns the number of bytes and of fields of a head as the handler gets it.
func sizeOf(r *http.Request) (bytes, fields int) {
	bytes = len(r.Method) + len(r.RequestURI) + len(r.Host)
	if r.Host != "" {
		fields = 1 // net/http takes it out of the header
	}
	for name, values := range r.Header {
		fields += len(values)
		for _, v := range values {
			bytes += len(name) + len(v)
		}
	}
	return bytes, fields
}
