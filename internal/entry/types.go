package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/figreel/figreel/internal/desk"
	"github.com/figreel/figreel/internal/site"
)

const (
	// MaxAnswerBytes bounds an answer that is read as a whole.
	MaxAnswerBytes = 16 << 20
	// minAttempt is the least time in which another attempt can succeed.
	minAttempt = 10 * time.Millisecond
	// retryAfter is what a refusal tells its caller when nothing better is known.
	retryAfter = 200 * time.Millisecond
)

// Reasons of refusals and failures, as they stand in logs and counters.
const (
	reasonNoConfig    = "no_configuration"
	reasonNoRoute     = "no_route"
	reasonBadRequest  = "bad_request"
	reasonTooLarge    = "body_too_large"
	reasonNoUpstream  = "no_upstream"
	reasonStopping    = "host_stopping"
	reasonRejected    = "rejected_by_upstreams"
	reasonDeadline    = "deadline"
	reasonBroken      = "upstream_broken"
	reasonCallerLeft  = "caller_left"
	reasonStreamCut   = "stream_cut"
	reasonUpstreamErr = "upstream_error"
)

type (
	// Names are the headers that callers and upstreams use.
	Names struct {
		ID         string
		Deadline   string // milliseconds that the caller waits
		Instance   string // id of the upstream that must answer
		NotRun     string // marks an answer to a request that did not run
		LastEvent  string
		Priority   string
		RetryAfter string
		OwnOnly    []string // headers that only hosts set
	}

	// Tickets decides which engine serves a call.
	Tickets interface {
		Ask(ctx context.Context, a desk.Ask) (desk.Decision, error)
		First(g desk.Grant)
		Done(g desk.Grant, how desk.Outcome)
	}

	// Retries is the budget of further attempts at a service.
	Retries interface {
		Earn(service string)
		Spend(service string) bool
	}

	// Describe reads a call's demand from its headers.
	Describe func(http.Header) (site.Demand, error)
)
