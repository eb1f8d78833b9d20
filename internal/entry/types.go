package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/figreel/figreel/internal/h1"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/topo"
)

const (
	// MaxResponseBytes is the size limit of a response that is not a stream.
	MaxResponseBytes = 16 << 20
	// maxHeldBytes is how much of a response is held until it is complete, so that another attempt can still be made. A
	// longer response is passed on while it is read.
	maxHeldBytes = 1 << 20
	// writeTimeout is how long the caller may take to read a response that is not a stream.
	writeTimeout = 20 * time.Second
	// minAttemptTime is the minimum time to the deadline for another attempt; with less it cannot succeed.
	minAttemptTime = 10 * time.Millisecond
	// defaultRetryAfter is the Retry-After of a rejection without a better estimate.
	defaultRetryAfter = 200 * time.Millisecond
)

// Reasons of rejections and failures, as written to logs and counters.
const (
	reasonNoConfig        = "no_configuration"
	reasonNoRoute         = "no_route"
	reasonBadRequest      = "bad_request"
	reasonTooLarge        = "body_too_large"
	reasonNoUpstream      = "no_upstream"
	reasonUpstreamLimits  = "limit_of_upstreams"
	reasonStopping        = "host_stopping"
	reasonRejected        = "rejected_by_upstreams"
	reasonDeadline        = "deadline"
	reasonUpstreamFailed  = "upstream_broken"
	reasonCallerLeft      = "caller_left"
	reasonStreamTruncated = "stream_cut"
	reasonUpstreamErr     = "upstream_error"
	reasonUnclear         = "outcome_not_stated"
	reasonMemory          = "memory_used_up"
	reasonTruncated       = "response_cut"
)

type (
	// Headers holds the names of the headers that callers and upstreams use.
	Headers struct {
		ID          string // id of the call
		Deadline    string // milliseconds that the caller waits
		Instance    string // id of the upstream that the request is for
		NotExecuted string // set in the response to a request that was not executed
		LastEventID string // id of the last event that the caller has, to resume a stream
		Resumes     string // id of the attempt that brought the first event of that stream
		Priority    string
		Key         string // credentials of the caller
		Workspace   string // workspace of the caller, set by hosts
		RetryAfter  string
		HostOnly    []string // headers that only hosts may set
	}

	// TicketClient requests tickets for calls to engines, reports the first event of a call, and releases the ticket.
	TicketClient interface {
		RequestTicket(ctx context.Context, req sched.Request) (sched.Decision, error)
		// FirstEvent takes the load that the engine stated with the event, or nil.
		FirstEvent(g sched.Grant, load *topo.Load)
		Release(g sched.Grant, outcome sched.Outcome)
	}

	// Quarantine rejects calls of plain services that crash one upstream after the other.
	Quarantine interface {
		// Admits reports whether the call may be sent to an upstream.
		Admits(call *topo.CallSpec) bool
		// Broken records that the connection to an upstream broke under a call that was sent at the given time.
		Broken(sent time.Time, u topo.Instance, call *topo.CallSpec)
		// Served records that the call was served.
		Served(call *topo.CallSpec)
	}

	// Quotas charges calls to plain services to the quotas of workspaces.
	Quotas interface {
		// ChargePlain charges a call. If the quota does not allow it yet, it returns the time until it does, and false.
		ChargePlain(workspace string, cost float64) (time.Duration, bool)
	}

	// RetryBudget is the retry budget of each service: Earn counts a call, Spend takes one retry if there is one.
	RetryBudget interface {
		Earn(service string)
		Spend(service string) bool
	}

	// StartCheck returns the check that a connection leads to an instance.
	StartCheck func(topo.Instance) *h1.Check

	// ParseSpec parses the call spec from a call's headers.
	ParseSpec func(http.Header) (topo.CallSpec, error)

	// ParseLoad parses the load that an upstream states in a response; it returns nil if there is none.
	ParseLoad func(http.Header) (*topo.Load, error)

	// ParseNotice parses what an upstream states in a response about the calls that it takes.
	ParseNotice func(status int, h http.Header) topo.Notice
)
