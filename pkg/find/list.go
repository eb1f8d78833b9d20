package find

import (
	"fmt"
	"sort"
	"strings"
)

type (
	// Finding is one problem in a file, with its 1-based line (0 if unknown) and dotted field path.
	Finding struct {
		File   string `json:"file"`
		Line   int    `json:"line"`
		Field  string `json:"field"`
		Reason string `json:"reason"`
	}

	// List collects the findings of one file; Err returns it as an error if there are any.
	List struct {
		File     string    `json:"file"`
		Findings []Finding `json:"findings"`
	}
)

// Add records a finding at a 1-based line (0 if unknown) and a dotted field path; its reason is formatted by Sprintf.
func (l *List) Add(line int, field, format string, args ...any) {
	reason := fmt.Sprintf(format, args...)
	l.Findings = append(l.Findings, Finding{File: l.File, Line: line, Field: field, Reason: reason})
}

// Fields returns the paths of the fields that have findings.
func (l *List) Fields() map[string]bool {
	fields := make(map[string]bool, len(l.Findings))
	for _, f := range l.Findings {
		fields[f.Field] = true
	}
	return fields
}

// Err sorts the findings by line and returns the list as an error, or nil when it is empty.
func (l *List) Err() error {
	if len(l.Findings) == 0 {
		return nil
	}
	sort.SliceStable(l.Findings, func(i, j int) bool { return l.Findings[i].Line < l.Findings[j].Line })
	return l
}

// Error returns one line per finding.
func (l *List) Error() string {
	lines := make([]string, 0, len(l.Findings))
	for _, f := range l.Findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// String returns the finding as file:line: field: reason.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Reason)
}
