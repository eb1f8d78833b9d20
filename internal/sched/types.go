package sched

import (
	"time"

	"github.com/figreel/figreel/internal/quota"
	"github.com/figreel/figreel/internal/topo"
	"github.com/figreel/figreel/internal/vers"
)

const (
	// Waiting means that the call is queued; a later Step returns the decision.
	Waiting Kind = iota
	// Granted means that the call may be sent to the engine.
	Granted
	// Rejected means that the call was rejected without being sent to an engine.
	Rejected
)

const (
	// ReasonNoReplica rejects a call whose model cannot be loaded on any engine before the deadline.
	ReasonNoReplica = "no_copy_in_time"
	// ReasonOverload rejects a call that no engine is expected to serve in time.
	ReasonOverload = "overloaded"
	// ReasonQueueShare rejects a call that cannot be served in time, of a workspace that claims more than its share of
	// the engines of its model.
	ReasonQueueShare = "queue_share"
	// ReasonQuarantine rejects a call with prompt segments that crash engines.
	ReasonQuarantine = "quarantined_prompt"
	// ReasonLimit rejects a call that the limits that the engines of its model state do not allow in time.
	ReasonLimit = "limit_of_engines"
	// ReasonHold rejects a call because the engines of its model want no calls from its host for a while.
	ReasonHold = "hold_of_engines"
	// ReasonVersionGone rejects a call that continues a stream, because no engine of the software version that began
	// the stream can serve it in time.
	ReasonVersionGone = "version_gone"
	// ReasonVersionUnknown rejects a call that takes up a stream, because it is not known which software version began
	// it.
	ReasonVersionUnknown = "version_unknown"
	// ReasonOverQuota rejects a call that the quota of its workspace does not allow yet.
	ReasonOverQuota = "over_quota"
	// ReasonUnknownModel rejects a call for a model that is not in the configuration.
	ReasonUnknownModel = "unknown_model"
)

const (
	// Served is the outcome of a call that ended with a complete response.
	Served Outcome = iota
	// NotExecuted is the outcome of an attempt that the engine rejected.
	NotExecuted
	// NotResident is the outcome of an attempt that the engine rejected because the model or adapter is not resident.
	NotResident
	// Failed is the outcome of an attempt that the engine did not get or that ended in its error response.
	Failed
	// Canceled is the outcome of a call whose client disconnected or whose deadline passed.
	Canceled
	// Broken is the outcome of an attempt whose connection ended before its response was complete.
	Broken
)

type (
	// Kind is the kind of a decision.
	Kind uint8

	// Outcome is how an attempt ended.
	Outcome uint8

	// Request is a ticket request: a call that needs an engine.
	Request struct {
		Call          string        `cbor:"1,keyasint"`
		Service       string        `cbor:"2,keyasint"` // drawn by the host; a stream goes on where it began
		Domain        string        `cbor:"3,keyasint"` // failure domain of the host that received the call
		Spec          topo.CallSpec `cbor:"4,keyasint"`
		Priority      int           `cbor:"5,keyasint"`           // 0 is the most urgent
		TargetLatency time.Duration `cbor:"6,keyasint"`           // target for the time to the first event
		Remaining     time.Duration `cbor:"7,keyasint"`           // until the caller's deadline
		Tried         []string      `cbor:"8,keyasint,omitempty"` // engines of earlier attempts
		GapTarget     time.Duration `cbor:"9,keyasint,omitempty"` // longest acceptable gap between events
		// FirstEventIn is the time until the caller leaves if it has got no event; 0 means Remaining.
		FirstEventIn time.Duration `cbor:"10,keyasint,omitempty"`
		// Holds are the engines that want no calls from the host that received the call, and for how long.
		Holds []Hold `cbor:"11,keyasint,omitempty"`
		// TakesUp is set if the caller takes up a stream. Resumes is the ID of the attempt that began it, or empty if
		// the caller does not name it.
		TakesUp bool   `cbor:"12,keyasint,omitempty"`
		Resumes string `cbor:"13,keyasint,omitempty"`
		// Software is the software version that the engine must have; empty allows any.
		Software string `cbor:"14,keyasint,omitempty"`
		// Resumable is set if the stream can be taken up.
		Resumable bool `cbor:"15,keyasint,omitempty"`
		// Workspace is the workspace whose key the caller has sent, or empty. Cost is what the call counts as in its
		// quota.
		Workspace string  `cbor:"16,keyasint,omitempty"`
		Cost      float64 `cbor:"17,keyasint,omitempty"`
		// Charged is set if the call has been charged to the quota of its workspace.
		Charged bool `cbor:"20,keyasint,omitempty"`
		// WorkspacePriority is the priority of the workspace where HasWorkspacePriority is set; 0 is the most urgent.
		WorkspacePriority    int  `cbor:"18,keyasint,omitempty"`
		HasWorkspacePriority bool `cbor:"19,keyasint,omitempty"`
	}

	// Hold is an engine that wants no calls from a host for some time.
	Hold struct {
		Engine topo.Instance `cbor:"1,keyasint"`
		For    time.Duration `cbor:"2,keyasint"`
	}

	// Decision is the answer to a Request.
	Decision struct {
		Kind   Kind   `cbor:"1,keyasint"`
		Call   string `cbor:"2,keyasint"`
		Grant  Grant  `cbor:"3,keyasint"`
		Reason string `cbor:"4,keyasint,omitempty"`
		// RetryAfter is the time after which a rejected call may be accepted.
		RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
		// Final is set if a call was rejected for a stream that is not known, and the store does not know it either.
		Final bool `cbor:"6,keyasint,omitempty"`
		// Position and WorkAhead are the place in the fair order of a call that was rejected: the number of calls for
		// its model that went before it, and their work in tokens.
		Position  int     `cbor:"7,keyasint,omitempty"`
		WorkAhead float64 `cbor:"8,keyasint,omitempty"`
	}

	// Grant names the engine that a call may be sent to.
	Grant struct {
		Ticket uint64 `cbor:"1,keyasint"`
		Engine string `cbor:"2,keyasint"`
		Addr   string `cbor:"3,keyasint"`
		Boot   int64  `cbor:"4,keyasint"`
		// PrefillTokens, PrefillTime and Streams are the estimates behind the choice: prompt tokens of the call that
		// need prefill, time until that prefill ends, and calls with a gap target that are streaming.
		PrefillTokens int           `cbor:"5,keyasint,omitempty"`
		PrefillTime   time.Duration `cbor:"6,keyasint,omitempty"`
		Streams       int           `cbor:"7,keyasint,omitempty"`
		// Probe is set if the call tests a quarantine of its prompt.
		Probe bool `cbor:"8,keyasint,omitempty"`
		// DelayedBy is the reason if the call waited because of what engines state, or empty.
		DelayedBy string `cbor:"9,keyasint,omitempty"`
		// Software is the software version of the engine.
		Software string `cbor:"10,keyasint,omitempty"`
		// CheckStart is set if the stream can be continued and the engine may have started again with another software
		// version: the service has several, or the host's list of upstreams is too old to tell.
		CheckStart bool `cbor:"11,keyasint,omitempty"`
		// Speed, TokenCost and BaseCost are what the scheduler assumes: the speed of the engine as a multiple of the
		// usual one, and the prefill time per token at usual speed, of the model and of one that was not measured.
		Speed     float64       `cbor:"12,keyasint,omitempty"`
		TokenCost time.Duration `cbor:"13,keyasint,omitempty"`
		BaseCost  time.Duration `cbor:"14,keyasint,omitempty"`
		// Service is the service of the engine; empty in a grant of a host of an earlier release.
		Service string `cbor:"15,keyasint,omitempty"`
	}

	// OpenTicket is a ticket that another scheduler granted and that has not ended.
	OpenTicket struct {
		Request    Request `cbor:"1,keyasint"`
		Grant      Grant   `cbor:"2,keyasint"`
		FirstEvent bool    `cbor:"3,keyasint"` // the first event has arrived
	}

	// AdapterLoad is a request to load an adapter. EvictModel and EvictAdapter name the adapter to unload for it; they
	// are empty if an adapter slot is free.
	AdapterLoad struct {
		Engine       string
		Model        string
		Adapter      string
		EvictModel   string
		EvictAdapter string
	}

	// ModelDemand is the recent demand for a model, as input for placement.
	ModelDemand struct {
		OfferedLoad float64 // engine-seconds per second
		CallRate    float64 // calls per second, over a longer time than OfferedLoad
		Waiting     int     // queued calls, except those that wait for an adapter
		Requested   bool    // at least one call has requested the model
		// Versions is the number of queued calls that continue streams, by the software version that began them, for
		// versions of which no engine has the model.
		Versions map[string]int
	}

	adapter struct {
		calls     int
		lastUse   time.Time
		readyAt   time.Time // when the load is expected to have ended
		requested bool      // load requested, but no order accepted yet
		unloading bool      // to be evicted for another adapter; gets no calls
		leaving   bool      // the engine unloads it when its runs have ended
	}

	ticket struct {
		id            uint64
		request       Request
		engine        *engine
		granted       time.Time
		prefill       time.Duration // estimated prefill time when the ticket was granted
		prefillTokens int           // prompt tokens that are not cached on the engine
		kvTokens      int           // KV cache that the call needs, in tokens
		usualPrefill  time.Duration // prefill on an engine of usual speed
		// expected is the time until the first event that the ticket was granted for, on an engine of usual speed; 0 if
		// the call is not used as a measurement.
		expected   time.Duration
		noBacklog  bool // the engine had no prefill backlog when the ticket was granted
		firstEvent bool // the first event has arrived
	}

	// pending is a ticket request with its queue state.
	pending struct {
		Request
		prefixKeys []uint64 // one key per prompt segment, see prefixKeys
		arrived    time.Time
		deadline   time.Time     // when the caller leaves if it has got no event
		delayedBy  string        // why statements of engines delayed the call, or empty
		loadingOn  string        // engine on which the call waits for its adapter, or empty
		minTTFT    time.Duration // expected time to the first event on an idle engine
		tokenCost  time.Duration // prefill time per token at usual speed, as of the last decision
		probe      bool          // the call tests a quarantine
		prefill    time.Duration // prefill time of the part of the prompt that other calls do not share
		charged    quota.Receipt
		position   int     // calls for the model that go before it in the fair order
		ahead      float64 // work of these calls, in tokens
		own        float64 // part of it that is of the same workspace
		excess     bool    // to be rejected because the queue is too long
		queued     bool    // not decided on arrival
	}
)

func newPending(now time.Time, q Request) *pending {
	wait := q.Remaining
	if q.FirstEventIn > 0 {
		wait = min(wait, q.FirstEventIn)
	}
	return &pending{Request: q, prefixKeys: prefixKeys(&q.Spec), arrived: now, deadline: now.Add(wait)}
}

// BeginsStream reports whether the first event of the response begins a stream that can be taken up.
func (q *Request) BeginsStream() bool { return q.Resumable && !q.TakesUp && q.Software == "" }

// SetOrigin makes the call go on at what began its stream.
func (q *Request) SetOrigin(v vers.Version) {
	q.Software = v.Software
	if v.Service != "" {
		q.Service = v.Service
	}
}

// modelKey returns the service and model that the call requests.
func (q *Request) modelKey() modelKey { return modelKey{q.Service, q.Spec.Model} }

// adapterKey returns the adapter that the call requests.
func (q *Request) adapterKey() topo.Adapter {
	return topo.Adapter{Model: q.Spec.Model, Name: q.Spec.Adapter}
}
