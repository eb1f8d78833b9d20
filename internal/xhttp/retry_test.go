package xhttp_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/xhttp"
)

// Guards against a pause that is taken from a value that is no time, and against one without end.
func TestParseRetryAfter(t *testing.T) {
	now := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	for _, tt := range []struct {
		value  string
		want   time.Duration
		failed bool
	}{
		{"3", 3 * time.Second, false},
		{" 0.25 ", 250 * time.Millisecond, false},
		{"0", 0, false},
		{now.Add(10 * time.Second).Format(http.TimeFormat), 10 * time.Second, false},
		{now.Add(-time.Hour).Format(http.TimeFormat), 0, false},
		{"-1", 0, true},
		{"NaN", 0, true},
		{"soon", 0, true},
		{"", 0, true},
		{"+Inf", xhttp.MaxRetryAfter, true},
		{"1e999", xhttp.MaxRetryAfter, true},
		{"3600", xhttp.MaxRetryAfter, true},
		{now.Add(time.Hour).Format(http.TimeFormat), xhttp.MaxRetryAfter, true},
	} {
		got, err := xhttp.ParseRetryAfter(tt.value, now)
		if got != tt.want || (err != nil) != tt.failed {
			t.Errorf("%q: %v, %v", tt.value, got, err)
		}
	}
}
