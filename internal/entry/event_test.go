package entry

import (
	"strings"
	"testing"
)

// Guards against events that are held back or cut because of their line ends.
func TestEndOfLastEvent(t *testing.T) {
	for _, tt := range []struct{ in, complete string }{
		{"", ""},
		{"data: a\n", ""},
		{"data: a\n\n", "data: a\n\n"},
		{"data: a\n\ndata: b\n", "data: a\n\n"},
		{"data: a\r\n\r\n", "data: a\r\n\r\n"},
		{"data: a\r\n\r", ""},
		{"data: a\r\n\r\ndata: b\n\nda", "data: a\r\n\r\ndata: b\n\n"},
		{"data: a\n\r\ndata", "data: a\n\r\n"},
	} {
		if got := tt.in[:endOfLastEvent([]byte(tt.in))]; got != tt.complete {
			t.Errorf("%q: complete %q, want %q", tt.in, got, tt.complete)
		}
	}
}

// FuzzEvents guards against bytes of a stream that are lost, repeated or sent before their event is complete, however
// the stream is cut into reads.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 3)
	f.Add("id: 1\r\ndata: a\r\n\r\n", 1)
	f.Add(": comment\n\n\n\n", 2)
	f.Add("no event", 100)
	f.Fuzz(func(t *testing.T, in string, size int) {
		if size < 1 || len(in) > 1<<12 {
			t.Skip("not a way to cut a stream")
		}
		var out strings.Builder
		var partial []byte
		for rest := in; rest != ""; {
			n := min(size, len(rest))
			partial = append(partial, rest[:n]...)
			rest = rest[n:]
			end := endOfLastEvent(partial)
			out.Write(partial[:end])
			partial = append(partial[:0], partial[end:]...)
		}
		if out.String()+string(partial) != in {
			t.Errorf("%q became %q and %q", in, out.String(), partial)
		}
		if s := out.String(); s != "" && !strings.HasSuffix(s, "\n\n") && !strings.HasSuffix(s, "\n\r\n") {
			t.Errorf("an incomplete event was sent: %q", s)
		}
	})
}
