package answer

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// NotRun means that the request was not executed and will not be.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have been executed.
	Unknown Outcome = "outcome_unknown"
	// Failed means that the request was executed and failed.
	Failed Outcome = "failed"
)

type (
	// Outcome states whether a request without a complete response was executed.
	Outcome string

	// Error is the only kind of error that callers see; Status is its HTTP status, RetryAfter is optional.
	Error struct {
		Status     int
		Code       string
		Outcome    Outcome
		Message    string
		RetryAfter time.Duration
	}

	errorBody struct {
		Error errorFields `json:"error"`
	}

	errorFields struct {
		Message   string  `json:"message"`
		Type      string  `json:"type"`
		Code      string  `json:"code"`
		Outcome   Outcome `json:"outcome"`
		RequestID string  `json:"request_id"`
	}
)

// Error returns the code, the outcome and the message.
func (e *Error) Error() string {
	return e.Code + " (" + string(e.Outcome) + "): " + e.Message
}

// From returns err as an *Error; any other error becomes an internal_error with an unknown outcome.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{
		Status: http.StatusInternalServerError, Code: "internal_error", Outcome: Unknown, Message: err.Error(),
	}
}

// Body returns the JSON body of the error response.
func (e *Error) Body(requestID string) []byte {
	errorType := "server_error"
	if e.Status < http.StatusInternalServerError {
		errorType = "invalid_request_error"
	}
	b, err := json.Marshal(errorBody{Error: errorFields{
		Message: e.Message, Type: errorType, Code: e.Code, Outcome: e.Outcome, RequestID: requestID,
	}})
	if err != nil {
		return []byte(`{"error":{"code":"internal_error","outcome":"outcome_unknown"}}`)
	}
	return b
}

// Write sends the error as the complete response, with RetryAfter rounded up to seconds in Retry-After if it is set.
func (e *Error) Write(w http.ResponseWriter, requestID string) {
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		seconds := int((e.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(e.Body(requestID))
}
