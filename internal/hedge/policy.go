package hedge

import (
	"math"
	"math/bits"
	"sync"
	"time"
)

const (
	// maxLate is how many of the last 32 calls of a service may be late; with more, it is slow as a whole.
	maxLate = 8
	// maxServices bounds the number of services that are counted; those beyond it get no hedge.
	maxServices = 1024
	// quantile is the share of the calls of a key that are usually not late. With a higher one, an upstream that is
	// slow and gets some percent of the calls soon counts as usual.
	quantile = 0.95
	// MaxAsks is how often Start may be called for an attempt, once in each delay: when the first delay has passed,
	// calls that began later are often not old enough to show that the service is fast.
	MaxAsks = 4
)

// Reasons for which no second attempt starts.
const (
	RefusedLimit   = "limit"
	RefusedWaiting = "waiting"
	RefusedAllSlow = "all_slow"
)

type (
	// Key names calls that usually take the same time to the first byte.
	Key struct {
		Service, Model string
		Size           int // size class of the prompt
	}

	// Policy decides about second attempts; Share is set before use. A nil Policy allows none.
	Policy struct {
		// Share is the share of the calls of a service that may get a second attempt, up to 1; 0 is none.
		Share float64

		mu       sync.Mutex
		calls    uint64
		times    map[Key]*times
		services map[string]*service
	}

	service struct {
		credit  credit
		waiting int
		late    uint32 // one bit for each of the last 32 calls, 1 if it was late
		// newest is when the newest of the calls began that got their first byte in time.
		newest time.Time
	}
)

// SizeClass returns the size class of a prompt; each class spans a factor of 4.
func SizeClass(promptTokens int) int { return (bits.Len(uint(max(promptTokens, 0))) + 1) / 2 }

func (p *Policy) off() bool { return p == nil || p.Share <= 0 }

// Count counts a call of a service and returns the time to the first byte after which its attempt is late, or 0 if that
// is not known. Only calls that may get a second attempt are counted.
func (p *Policy) Count(now time.Time, k Key) time.Duration {
	if p.off() {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	s := p.service(k.Service)
	if s == nil {
		return 0
	}
	s.credit.add(now)
	t := p.times[k]
	if t == nil {
		return 0
	}
	t.usedAt = p.calls
	return t.quantile
}

// FirstByte records that an attempt got its first byte, or was cancelled after the time took; late says that it had
// been recorded as Late before.
func (p *Policy) FirstByte(k Key, began time.Time, took time.Duration, late bool) {
	if p.off() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timesOf(k).add(took)
	s := p.service(k.Service)
	if late || s == nil {
		return
	}
	s.late <<= 1
	if began.After(s.newest) {
		s.newest = began
	}
}

// Late records that an attempt is late.
func (p *Policy) Late(name string) {
	if p.off() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.service(name); s != nil {
		s.late = s.late<<1 | 1
	}
}

// Wait records that as many more calls of a service wait for an upstream; fewer if n is negative.
func (p *Policy) Wait(name string, n int) {
	if p.off() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.service(name); s != nil {
		s.waiting += n
	}
}

// Start decides whether a second attempt starts for a call whose first attempt began at the given time and is late. It
// returns an empty string if so, and counts the attempt in the limit; otherwise it returns the reason.
func (p *Policy) Start(now time.Time, name string, began time.Time) string {
	if p.off() {
		return RefusedLimit
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(name)
	switch {
	case s == nil:
		return RefusedLimit
	case s.waiting > 0:
		return RefusedWaiting
	case bits.OnesCount32(s.late) > maxLate || !s.newest.After(began):
		return RefusedAllSlow
	case !s.credit.take(now, int(math.Ceil(min(1/p.Share, math.MaxInt32)))):
		return RefusedLimit
	}
	return ""
}

// service returns the state of a service, or nil if there are too many.
func (p *Policy) service(name string) *service {
	s := p.services[name]
	if s == nil && len(p.services) < maxServices {
		if p.services == nil {
			p.services = make(map[string]*service)
		}
		s = &service{}
		p.services[name] = s
	}
	return s
}

// timesOf returns the times of a key. A new key replaces the one that has not been used for longest if there are too
// many.
func (p *Policy) timesOf(k Key) *times {
	if t := p.times[k]; t != nil {
		return t
	}
	if p.times == nil {
		p.times = make(map[Key]*times)
	}
	if len(p.times) >= maxKeys {
		var oldest Key
		at := uint64(math.MaxUint64)
		for o, t := range p.times {
			if t.usedAt < at {
				oldest, at = o, t.usedAt
			}
		}
		delete(p.times, oldest)
	}
	t := &times{usedAt: p.calls}
	p.times[k] = t
	return t
}
