package mem_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/mem"
)

var errBroken = errors.New("broken")

// Guards against bytes that are held beyond the limit, lost, or never returned to the budget.
func TestReadAll(t *testing.T) {
	for _, tt := range []struct {
		name  string
		r     io.Reader
		limit int64
		room  int64
		n     int
		err   error
	}{
		{"empty", strings.NewReader(""), 10, 10000, 0, nil},
		{"short", strings.NewReader("abc"), 10, 10000, 3, nil},
		{"as long as allowed", bytes.NewReader(make([]byte, 5000)), 5000, 100_000, 5000, nil},
		{"too long", bytes.NewReader(make([]byte, 5001)), 5000, 100_000, 5001, mem.ErrTooLong},
		{"byte by byte", iotest.OneByteReader(bytes.NewReader(make([]byte, 3000))), 5000, 100_000, 3000, nil},
		{"no room", bytes.NewReader(make([]byte, 5000)), 5000, 3000, 1024, mem.ErrNoMemory},
		{"no room at all", strings.NewReader("abc"), 10, 5, 0, mem.ErrNoMemory},
		{"broken", io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(errBroken)), 10, 10000, 3, errBroken},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := &mem.Budget{Limit: tt.room}
			s := mem.Share{Budget: b}
			got, err := s.ReadAll(tt.r, tt.limit)
			if len(got) != tt.n || !errors.Is(err, tt.err) {
				t.Errorf("%d bytes, %v, want %d, %v", len(got), err, tt.n, tt.err)
			}
			if used := b.Used(); used > tt.room || used < int64(len(got)) {
				t.Errorf("%d bytes are held of %d", used, tt.room)
			}
			if s.Release(); b.Used() != 0 {
				t.Errorf("%d bytes are held after the release", b.Used())
			}
		})
	}
}

// Guards against shares of concurrent calls that exceed the budget together.
func TestConcurrentShares(t *testing.T) {
	b := &mem.Budget{Limit: 64 << 10}
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			s := mem.Share{Budget: b}
			defer s.Release()
			if _, err := s.ReadAll(bytes.NewReader(make([]byte, 10_000)), 20_000); err != nil && !errors.Is(err, mem.ErrNoMemory) {
				t.Error(err)
			}
			if used := b.Used(); used > b.Limit {
				t.Errorf("%d bytes are held", used)
			}
		})
	}
	wg.Wait()
	if b.Used() != 0 {
		t.Errorf("%d bytes are held at the end", b.Used())
	}
}

// Guards against a buffer that grows beyond the budget, or that loses what it had.
func TestAppend(t *testing.T) {
	b := &mem.Budget{Limit: 100}
	s := mem.Share{Budget: b}
	var buf []byte
	ok := true
	n := 0
	for ; ok && n < 1000; n++ {
		buf, ok = s.Append(buf, []byte{byte(n)})
	}
	if ok || len(buf) != n-1 || cap(buf) > 100 || b.Used() != int64(cap(buf)) {
		t.Errorf("%d bytes after %d, room for %d, %d of the budget", len(buf), n, cap(buf), b.Used())
	}
	for i, v := range buf {
		if v != byte(i) {
			t.Fatalf("byte %d is %d", i, v)
		}
	}
}
