package h1

import (
	"io"

	"github.com/pkg/errors"
)

var errTooLong = errors.New("head of the response is too long")

// limitedReader reads from a connection and fails once it has read more than its limit, if it has one.
type limitedReader struct {
	r      io.Reader
	left   int
	active bool
}

// start limits the bytes that are read from now on.
func (l *limitedReader) start(n int) { l.left, l.active = n, true }

// stop ends the limit.
func (l *limitedReader) stop() { l.active = false }

// Read implements io.Reader.
func (l *limitedReader) Read(b []byte) (int, error) {
	if !l.active {
		return l.r.Read(b)
	}
	if l.left <= 0 {
		return 0, errTooLong
	}
	n, err := l.r.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}
