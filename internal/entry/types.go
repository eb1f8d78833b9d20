package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/topo"
)

const (
	// MaxResponseBytes bounds an answer that is read as a whole.
	MaxResponseBytes = 16 << 20
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
	// Headers are the headers that callers and upstreams use.
	Headers struct {
		ID          string
		Deadline    string // milliseconds that the caller waits
		Instance    string // id of the upstream that must answer
		NotExecuted string // marks an answer to a request that did not run
		LastEventID string
		Priority    string
		RetryAfter  string
		HostOnly    []string // headers that only hosts set
	}

	// TicketClient decides which engine serves a call.
	TicketClient interface {
		RequestTicket(ctx context.Context, a sched.Request) (sched.Decision, error)
		FirstEvent(g sched.Grant)
		Release(g sched.Grant, how sched.Outcome)
	}

	// RetryBudget is the budget of further attempts at a service.
	RetryBudget interface {
		Earn(service string)
		Spend(service string) bool
	}

	// ParseSpec reads a call's demand from its headers.
	ParseSpec func(http.Header) (topo.CallSpec, error)
)
