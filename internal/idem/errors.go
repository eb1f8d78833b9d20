package idem

import (
	"net/http"
	"time"

	"github.com/figreel/figreel/pkg/answer"
)

const retryAfter = 2 * time.Second

// unavailable has an unknown outcome, because an earlier attempt with the same key may have run.
func unavailable(err error) *answer.Error {
	return &answer.Error{
		Status: http.StatusServiceUnavailable, Code: "record_unavailable", Outcome: answer.Unknown,
		Message: "this attempt was not run, but whether an earlier attempt with this key was run " +
			"cannot be read now: " + err.Error(),
		RetryAfter: retryAfter,
	}
}

func inProgress() *answer.Error {
	return &answer.Error{
		Status: http.StatusConflict, Code: "in_progress", Outcome: answer.Unknown,
		Message: "another attempt with this key is running; ask again with the same key", RetryAfter: retryAfter,
	}
}
