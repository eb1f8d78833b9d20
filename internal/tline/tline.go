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
	// contextWindow is the time before and after a call for which state changes of hosts and upstreams are printed.
	contextWindow = 2 * time.Second
	// maxLine bounds the length of a log line in bytes; Read fails at a longer one. A line records a single decision,
	// so lines of hosts are far shorter.
	maxLine = 1 << 20
	// callEndedMessage is the message of the line that records the final response to a call.
	callEndedMessage = "call ended"
)

// ErrNoCall means that no log line names the call.
var ErrNoCall = errors.New("no log line names this call: its request was not read completely, or the line was dropped")

type (
	// Timeline collects the log lines that are relevant to one call; Call, the id of the call, is set before the first
	// Read.
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
		duration  time.Duration
		fields    map[string]any
	}
)

// omittedFields are left out of the key=value list of a printed line: time, host and message stand at its beginning,
// and level is not printed.
var omittedFields = []string{"time", "host", "message", "level"}

// Read adds the lines of one log. It skips text before the first brace of a line, and lines that hold no JSON object.
func (t *Timeline) Read(r io.Reader) error {
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
		// Lines of other calls are dropped while reading, because they make up most of a log.
		l := decode(fields)
		if l.call == "" || l.call == t.Call {
			t.lines = append(t.lines, l)
		}
	}
	return errors.Wrap(sc.Err(), "read log")
}

// Write prints the lines of the call, and the state changes of its upstreams and of hosts around the same time, sorted
// by time. It returns ErrNoCall if no line names the call.
func (t *Timeline) Write(w io.Writer) error {
	slices.SortStableFunc(t.lines, func(a, b line) int { return a.at.Compare(b.at) })
	var first, last time.Time
	var upstreams []string
	finished := false
	for _, l := range t.lines {
		if l.call != t.Call {
			continue
		}
		if begin := l.at.Add(-l.duration); first.IsZero() || begin.Before(first) {
			first = begin
		}
		last = l.at
		upstreams = append(upstreams, l.upstreams...)
		finished = finished || l.message == callEndedMessage
	}
	if first.IsZero() {
		return ErrNoCall
	}
	hosts := make(map[string]bool)
	for _, l := range t.lines {
		if l.at.Before(first.Add(-contextWindow)) || l.at.After(last.Add(contextWindow)) {
			continue
		}
		hosts[l.host] = true
		if !t.isRelevant(l, upstreams) {
			continue
		}
		offset := float64(l.at.Sub(first)) / float64(time.Millisecond)
		if _, err := fmt.Fprintf(w, "%+9.1f ms  %s\n", offset, l); err != nil {
			return errors.Wrap(err, "write timeline")
		}
	}
	return t.writeNotes(w, upstreams, finished, len(hosts))
}

// isRelevant reports whether a line belongs to the call, to one of its upstreams, or to the state of a host.
func (t *Timeline) isRelevant(l line, upstreams []string) bool {
	if l.call != "" {
		return l.call == t.Call
	}
	if len(l.upstreams) > 0 {
		return slices.ContainsFunc(l.upstreams, func(u string) bool { return slices.Contains(upstreams, u) })
	}
	return true
}

// writeNotes prints the number of hosts and which expected lines are missing.
func (t *Timeline) writeNotes(w io.Writer, upstreams []string, finished bool, hosts int) error {
	notes := []string{fmt.Sprintf("%d hosts have lines around this call; their clocks may differ", hosts)}
	if !finished {
		notes = append(notes, "no line records the final response: the host stopped before it, or the line was dropped")
	}
	slices.Sort(upstreams)
	for _, u := range slices.Compact(upstreams) {
		hasState := slices.ContainsFunc(t.lines, func(l line) bool {
			return l.call == "" && slices.Contains(l.upstreams, u)
		})
		if !hasState {
			notes = append(notes, "no line shows when upstream "+u+" appeared: the log begins later, or a line is lost")
		}
	}
	_, err := fmt.Fprintln(w, strings.Join(notes, "\n"))
	return errors.Wrap(err, "write timeline")
}

func decode(fields map[string]any) line {
	text := func(key string) string { v, _ := fields[key].(string); return v }
	l := line{host: text("host"), message: text("message"), call: text("call"), fields: fields}
	// A line without a valid time keeps the zero time: it sorts first and is outside of the window of any call.
	l.at, _ = time.Parse(time.RFC3339Nano, text("time"))
	if ms, ok := fields["took_ms"].(float64); ok {
		l.duration = time.Duration(ms * float64(time.Millisecond))
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

// String returns the host, the message and the other fields sorted by name.
func (l line) String() string {
	keys := make([]string, 0, len(l.fields))
	for k := range l.fields {
		if !slices.Contains(omittedFields, k) {
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
