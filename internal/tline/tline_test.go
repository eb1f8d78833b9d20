package tline_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/figreel/figreel/internal/tline"
)

const (
	day  = `"time":"2026-12-04T10:00:0`
	logA = `{"level":"info","host":"a","upstream":"e1","boot":5,` + day + `0Z","message":"upstream"}
{"level":"info","host":"a","upstream":"e2","boot":5,` + day + `0Z","message":"upstream"}
not a line of a host
{"level":"info","host":"a","call":"c2","upstreams":["e1"],"status":200,"took_ms":10,` + day + `4.1Z","message":"call ended"}
{"level":"info","host":"a","call":"c1","upstreams":["e1"],"status":503,"reason":"overloaded","took_ms":100,` + day + `4.5Z","message":"call ended"}`
	logB = `4.4 b {"level":"warn","host":"b","prefix":"x",` + day + `4.3Z","message":"store lost"}
{"level":"warn","host":"b",` + day + `9Z","message":"store regained"}
{"level":"info","host":"b","upstream":"e1","model":"m",` + day + `4.2Z","message":"order"}
{"level":"info","host":"b","upstream":"e2","model":"m",` + day + `4.2Z","message":"order"}`
)

// Guards against a timeline without the state changes that other hosts logged at the time of the call, and against
// lines of other calls and upstreams in it. The logs are those of an older build, with its messages.
func TestTimeline(t *testing.T) {
	s := &tline.Timeline{Call: "c1"}
	for _, log := range []string{logA, logB} {
		if err := s.Read(strings.NewReader(log)); err != nil {
			t.Fatal(err)
		}
	}
	var b strings.Builder
	if err := s.Write(&b); err != nil {
		t.Fatal(err)
	}
	want := []string{
		"   -200.0 ms  b              order model=m upstream=e1",
		"   -100.0 ms  b              store lost prefix=x",
		"   +100.0 ms  a              call ended call=c1 reason=overloaded status=503 took_ms=100 upstreams=[e1]",
		"2 hosts have lines around this call; their clocks may differ",
		"",
	}
	if got := b.String(); got != strings.Join(want, "\n") {
		t.Errorf("timeline:\n%s\nwant:\n%s", got, strings.Join(want, "\n"))
	}
}

// Guards against a timeline that does not say which of its lines are missing.
func TestMissingLines(t *testing.T) {
	for _, tt := range []struct {
		name, log, want string
	}{
		{"no final response", `{"host":"a","call":"c1",` + day + `4Z","message":"dispatching host does not reply"}`, "no line records the final response"},
		{"unknown upstream", `{"host":"a","call":"c1","upstreams":["e9"],` + day + `4Z","message":"call ended"}`, "no line shows when upstream e9 appeared"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &tline.Timeline{Call: "c1"}
			if err := s.Read(strings.NewReader(tt.log)); err != nil {
				t.Fatal(err)
			}
			var b strings.Builder
			if err := s.Write(&b); err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(b.String(), tt.want) {
				t.Errorf("%q lacks %q", b.String(), tt.want)
			}
		})
	}
	s := &tline.Timeline{Call: "c3"}
	if err := s.Read(strings.NewReader(logA)); err != nil {
		t.Fatal(err)
	}
	if err := s.Write(new(strings.Builder)); !errors.Is(err, tline.ErrNoCall) {
		t.Errorf("error for a call that no line names: %v, want ErrNoCall", err)
	}
}
