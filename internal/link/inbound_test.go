package link

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/figreel/figreel/internal/ingres"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/stats"
)

// Guards against connections of strangers that hold memory, or a connection, for ever.
func TestStrangers(t *testing.T) {
	for _, tt := range []struct{ name, opening, piece, reason string }{
		{"no message", "", "", noMessage},
		{"part of a message", "\xa1", "", noMessage},
		{"long string", "\xa1\x03\x7b\x00\x00\x00\x00\x40\x00\x00\x00", strings.Repeat("a", 8<<10), messageTooLarge},
		{"long array", "\xa1\x08\x9a\x00\x01\xff\xff", strings.Repeat("\xa0", 8<<10), messageNotRead},
		{"no CBOR", "GET / HTTP/1.1\r\n\r\n", "", messageNotRead},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gate := &ingres.Gate{Stats: &stats.Set{}}
				theirs, ours := net.Pipe()
				c := newInbound(ours, gate)
				go func() {
					_, err := io.WriteString(theirs, tt.opening)
					for err == nil && tt.piece != "" {
						_, err = io.WriteString(theirs, tt.piece)
					}
				}()
				start := time.Now()
				if _, err := c.Receive(); err == nil {
					t.Error("a message is received")
				}
				if took := time.Since(start); took > firstMessageTime {
					t.Errorf("closed after %s", took)
				}
				if _, err := theirs.Write([]byte{0}); err == nil {
					t.Error("the connection is open")
				}
				if v := gate.Stats.Events.Get(tt.reason + "/control"); v == nil || v.String() != "1" {
					t.Errorf("%s is counted %v times", tt.reason, v)
				}
				if used := gate.Messages().Used(); used != 0 {
					t.Errorf("%d bytes are held", used)
				}
			})
		})
	}
}

// Guards against messages of other hosts that are lost, changed or refused because of the bounds, and connections that
// are closed while no message is due.
func TestInboundMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := &ingres.Gate{Stats: &stats.Set{}}
		theirs, ours := net.Pipe()
		c := newInbound(ours, gate)
		tickets := func(n int) []sched.OpenTicket { return make([]sched.OpenTicket, n) }
		var sent bytes.Buffer
		enc := cbor.NewEncoder(&sent)
		sizes := []int{0, 10, 3000, 16 << 10, 0, 5}
		for _, n := range sizes {
			if err := enc.Encode(&Message{Kind: Hello, Host: "h", OpenTickets: tickets(n)}); err != nil {
				t.Fatal(err)
			}
		}
		go func() {
			_, _ = io.Copy(theirs, &sent)
			time.Sleep(time.Hour)
			_ = enc.Encode(&Message{Kind: Cancel, Call: "last"})
			_, _ = io.Copy(theirs, &sent)
		}()
		for i, n := range sizes {
			m, err := c.Receive()
			if err != nil || len(m.OpenTickets) != n || m.Host != "h" {
				t.Fatalf("message %d: %v, %v", i, m, err)
			}
		}
		if m, err := c.Receive(); err != nil || m.Call != "last" {
			t.Fatalf("after an hour: %v, %v", m, err)
		}
		if used := gate.Messages().Used(); used != 0 {
			t.Errorf("%d bytes are held", used)
		}
	})
}
