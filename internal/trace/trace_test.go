package trace

import (
	"bytes"
	"fmt"
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

// TestDocDefaults guards against documents of replays that lack a default of envdoc.Parse.
func TestDocDefaults(t *testing.T) {
	workload, err := Load("../../bench/short.trace.yaml")
	if err != nil {
		t.Fatal(err)
	}
	checkDefaults(t, "document", reflect.ValueOf(*workload.Doc()))
}

// checkDefaults checks that no field with a default, here or in the structs and slices below, is zero.
func checkDefaults(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Slice:
		for i := range v.Len() {
			checkDefaults(t, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			if _, ok := field.Tag.Lookup("default"); ok && v.Field(i).IsZero() {
				t.Errorf("%s.%s is zero", path, field.Name)
			}
			checkDefaults(t, path+"."+field.Name, v.Field(i))
		}
	}
}
