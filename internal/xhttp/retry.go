package xhttp

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// MaxRetryAfter is the longest Retry-After time that is honoured.
const MaxRetryAfter = time.Minute

// ParseRetryAfter parses a Retry-After value: seconds, which may be fractional, or a date. A date that has passed
// yields 0. A time beyond MaxRetryAfter yields MaxRetryAfter and an error.
func ParseRetryAfter(value string, now time.Time) (time.Duration, error) {
	value = strings.TrimSpace(value)
	seconds, err := strconv.ParseFloat(value, 64)
	if at, dateErr := http.ParseTime(value); dateErr == nil {
		seconds, err = at.Sub(now).Seconds(), nil
		seconds = max(seconds, 0)
	}
	if err != nil && seconds == 0 || !(seconds >= 0) {
		return 0, errors.Errorf("Retry-After: %q is neither a time nor a date", value)
	}
	if seconds > MaxRetryAfter.Seconds() {
		return MaxRetryAfter, errors.Errorf("Retry-After: %q is longer than %v", value, MaxRetryAfter)
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
