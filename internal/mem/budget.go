package mem

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// RequestShare is the share of the memory of a process that may hold requests of callers. What the collector has
	// not freed yet comes on top of the shares.
	RequestShare = 0.1
	// ResponseShare is the share that may hold responses of upstreams.
	ResponseShare = 0.15
	// ReportShare is the share that may hold responses of engines to orders and requests for reports.
	ReportShare = 0.05
	// HeadShare is the share that may hold the heads of the requests of callers.
	HeadShare = 0.15
	// CacheShare is the share that may hold the estimates of what engines have cached.
	CacheShare = 0.15
	// MessageShare is the share that may hold messages of other hosts while they are received.
	MessageShare = 0.05

	// minBuffer is the size of the first buffer of ReadAll, in bytes.
	minBuffer = 512
)

var (
	// ErrTooLong means that there are more bytes than the reader allows.
	ErrTooLong = errors.New("too long to be held")
	// ErrNoMemory means that the budget has no room.
	ErrNoMemory = errors.New("memory for requests and responses is used up")
)

type (
	// Budget is the number of bytes that a host may hold; Limit is set before use. A nil Budget has no limit.
	Budget struct {
		Limit int64

		used atomic.Int64
	}

	// Share is what one call holds of a Budget; its zero value has no limit. It is not safe for concurrent use.
	Share struct {
		Budget *Budget

		held int64
	}
)

// NewBudget returns a budget of a share of the memory, which is in bytes.
func NewBudget(memory int64, share float64) *Budget {
	return &Budget{Limit: int64(share * float64(memory))}
}

// Used returns the number of bytes that are held.
func (b *Budget) Used() int64 { return b.used.Load() }

// Held returns the number of bytes of the share.
func (s *Share) Held() int64 { return s.held }

// Take adds bytes to the share, and reports whether the budget has room for them; if not, it adds none.
func (s *Share) Take(n int64) bool {
	if s.Budget == nil {
		return true
	}
	for {
		used := s.Budget.used.Load()
		if used+n > s.Budget.Limit {
			return false
		}
		if s.Budget.used.CompareAndSwap(used, used+n) {
			s.held += n
			return true
		}
	}
}

// Give returns bytes of the share to the budget.
func (s *Share) Give(n int64) {
	if s.Budget == nil {
		return
	}
	s.held -= n
	s.Budget.used.Add(-n)
}

// Release returns the whole share to the budget.
func (s *Share) Release() { s.Give(s.held) }

// Append appends to a buffer and adds what its capacity grows by to the share. It returns false, and the buffer as it
// was, if the budget has no room for a larger one.
func (s *Share) Append(buf, b []byte) ([]byte, bool) {
	if need := len(buf) + len(b); need > cap(buf) {
		grown := max(2*cap(buf), need)
		if !s.Take(int64(grown - cap(buf))) {
			return buf, false
		}
		next := make([]byte, len(buf), grown)
		copy(next, buf)
		buf = next
	}
	return append(buf, b...), true
}

// ReadAll reads until io.EOF and adds the buffer to the share before it grows. With an error it returns what it has
// read: ErrTooLong if there are more than limit bytes, ErrNoMemory if the budget has no room, or the error of r.
func (s *Share) ReadAll(r io.Reader, limit int64) ([]byte, error) {
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			grown := min(max(2*int64(cap(buf)), minBuffer), limit+1)
			if int64(len(buf)) > limit {
				return buf, ErrTooLong
			}
			if !s.Take(grown) {
				return buf, ErrNoMemory
			}
			next := make([]byte, len(buf), grown)
			copy(next, buf)
			s.Give(int64(cap(buf)))
			buf = next
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > limit:
			return buf, ErrTooLong
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			return buf, err
		}
	}
}
