package idem

import (
	"net/http"
	"time"

	"github.com/figreel/figreel/pkg/answer"
)

// retryAfter is the Retry-After time of errors after which the caller should retry with the same key.
const retryAfter = 2 * time.Second

// unavailableError returns the error of an attempt that was not executed because of err. Its outcome is unknown all the
// same, because an earlier attempt with the same key may have been executed.
func unavailableError(err error) *answer.Error {
	return &answer.Error{
		Status: http.StatusServiceUnavailable, Code: "record_unavailable", Outcome: answer.Unknown,
		Message: "this attempt was not executed, but it is unknown whether an earlier attempt with this key was " +
			"executed: " + err.Error(),
		RetryAfter: retryAfter,
	}
}

// inProgressError returns the error of an attempt that stops waiting for the result of a concurrent attempt.
func inProgressError() *answer.Error {
	return &answer.Error{
		Status: http.StatusConflict, Code: "in_progress", Outcome: answer.Unknown,
		Message: "another attempt with this key is in progress; retry with the same key", RetryAfter: retryAfter,
	}
}
