package tline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// margin is how long before and after a call the state of hosts and upstreams is told.
	margin = 2 * time.Second
	// maxLine bounds a line of a log; one line holds one decision.
	maxLine = 1 << 20
	// ended is the message of the line that tells a call's final answer.
	ended = "call ended"
)

// ErrNoCall means that no line names the call.
var ErrNoCall = errors.New("no host has a line of this call: it was not read whole, or its line was dropped")

type (
	// Timeline collects the lines that concern one call; Call is set before the first log is read.
	Timeline struct {
		Call string

		lines []line
	}

	line struct {
		at        time.Time
		host      string
		message   string
		call      string
		upstreams []string
		took      time.Duration
		fields    map[string]any
	}
)

// own are the fields that each told line begins with.
var own = []string{"time", "host", "message", "level"}

// Read takes over the lines of one log; text before the first brace of a line and lines of other formats are skipped.
func (s *Timeline) Read(r io.Reader) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		raw := sc.Bytes()
		i := bytes.IndexByte(raw, '{')
		if i < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(raw[i:], &fields) != nil {
			continue
		}
		// Lines of other calls are most of a log.
		l := decode(fields)
		if l.call == "" || l.call == s.Call {
			s.lines = append(s.lines, l)
		}
	}
	return errors.Wrap(sc.Err(), "read log")
}

// Write tells the call's lines, and those of its upstreams and of the hosts around them, in order of time.
func (s *Timeline) Write(w io.Writer) error {
	slices.SortStableFunc(s.lines, func(a, b line) int { return a.at.Compare(b.at) })
	var first, last time.Time
	var upstreams []string
	finished := false
	for _, l := range s.lines {
		if l.call != s.Call {
			continue
		}
		if begin := l.at.Add(-l.took); first.IsZero() || begin.Before(first) {
			first = begin
		}
		last = l.at
		upstreams = append(upstreams, l.upstreams...)
		finished = finished || l.message == ended
	}
	if first.IsZero() {
		return ErrNoCall
	}
	hosts := make(map[string]bool)
	for _, l := range s.lines {
		if l.at.Before(first.Add(-margin)) || l.at.After(last.Add(margin)) {
			continue
		}
		hosts[l.host] = true
		if !s.concerns(l, upstreams) {
			continue
		}
		offset := float64(l.at.Sub(first)) / float64(time.Millisecond)
		if _, err := fmt.Fprintf(w, "%+9.1f ms  %s\n", offset, l); err != nil {
			return errors.Wrap(err, "write story")
		}
	}
	return s.missing(w, upstreams, finished, len(hosts))
}

// concerns reports whether a line is the call's, one of its upstreams', or of the state of a host.
func (s *Timeline) concerns(l line, upstreams []string) bool {
	if l.call != "" {
		return l.call == s.Call
	}
	if len(l.upstreams) > 0 {
		return slices.ContainsFunc(l.upstreams, func(u string) bool { return slices.Contains(upstreams, u) })
	}
	return true
}

// missing says which lines a whole story would have.
func (s *Timeline) missing(w io.Writer, upstreams []string, finished bool, hosts int) error {
	notes := []string{fmt.Sprintf("%d hosts have lines around this call; their clocks may differ", hosts)}
	if !finished {
		notes = append(notes, "the line of the final answer is missing: the host ended first, or the line was dropped")
	}
	slices.Sort(upstreams)
	for _, u := range slices.Compact(upstreams) {
		known := slices.ContainsFunc(s.lines, func(l line) bool {
			return l.call == "" && slices.Contains(l.upstreams, u)
		})
		if !known {
			notes = append(notes, "no host tells when upstream "+u+" came: logs begin later, or a line was dropped")
		}
	}
	_, err := fmt.Fprintln(w, strings.Join(notes, "\n"))
	return errors.Wrap(err, "write story")
}

func decode(fields map[string]any) line {
	text := func(key string) string { v, _ := fields[key].(string); return v }
	l := line{host: text("host"), message: text("message"), call: text("call"), fields: fields}
	// A line without a readable time sorts first and is not within any call.
	l.at, _ = time.Parse(time.RFC3339Nano, text("time"))
	if ms, ok := fields["took_ms"].(float64); ok {
		l.took = time.Duration(ms * float64(time.Millisecond))
	}
	if u := text("upstream"); u != "" {
		l.upstreams = append(l.upstreams, u)
	}
	if list, ok := fields["upstreams"].([]any); ok {
		for _, v := range list {
			if u, ok := v.(string); ok {
				l.upstreams = append(l.upstreams, u)
			}
		}
	}
	return l
}

// String tells host, message and the other fields in order of their names.
func (l line) String() string {
	keys := make([]string, 0, len(l.fields))
	for k := range l.fields {
		if !slices.Contains(own, k) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	var b strings.Builder
	fmt.Fprintf(&b, "%-14s %s", l.host, l.message)
	for _, k := range keys {
		fmt.Fprintf(&b, " %s=%v", k, l.fields[k])
	}
	return b.String()
}
