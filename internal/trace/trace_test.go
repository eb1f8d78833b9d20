package trace

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
)

// TestGenerateAndRoundTrip guards against traces that differ between runs with the same seed, and against traces that
// change when they are written and read back.
func TestGenerateAndRoundTrip(t *testing.T) {
	workload, err := Load("../../bench/short.trace.yaml")
	if err != nil {
		t.Fatal(err)
	}
	calls := workload.Generate()
	if len(calls) < 500 || !reflect.DeepEqual(calls, workload.Generate()) {
		t.Fatalf("got %d calls, want at least 500, and the same calls from the same seed", len(calls))
	}
	var buf bytes.Buffer
	w := &Writer{W: &buf}
	for _, c := range calls {
		if err := w.Write(c); err != nil {
			t.Fatal(err)
		}
	}
	got, err := Read(&buf)
	if err != nil || !reflect.DeepEqual(got, calls) {
		t.Fatalf("calls differ after writing and reading them, error %v", err)
	}
}

// TestReadNamesLine guards against errors that do not name the malformed line of a trace.
func TestReadNamesLine(t *testing.T) {
	_, err := Read(strings.NewReader("{}\nx\n"))
	if err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Fatalf("got error %v, want one that names line 2", err)
	}
}
