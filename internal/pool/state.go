package pool

import (
	"math/bits"
	"time"

	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

// maxEngines is the maximum number of engines of a pool, because a set of engines is a mask of 64 bits.
const maxEngines = 64

const (
	healthy engineMode = iota
	reduced            // slower than the other engines: gets a smaller share of new calls
	ejected            // much slower than the other engines: gets only probes
)

type (
	engineMode uint8

	// mask is a set of engines; bit i stands for the engine with index i.
	mask uint64

	// item is a version of a model or adapter, with the engines on which it is resident or loading.
	item struct {
		name     string // name@version
		resident mask
		loading  mask
		// fallback is another version of the same name that serves calls while this one is not resident.
		fallback  *item
		callRate  rate
		tokenRate rate
	}

	// class is a class of the document with its waiting calls and its times to first token.
	class struct {
		envdoc.Class
		callers      []*caller
		byName       map[string]*caller
		virtualTime  float64 // largest virtual time at which a caller of the class was served
		ttft         quantiles
		hedgeAfterMS int
		waiting      int
		// activeShares is the sum of the shares of callers with waiting calls.
		activeShares float64
	}

	// caller holds the waiting calls of one caller within a class.
	caller struct {
		share       float64
		virtualTime float64 // fair queueing: granted tokens divided by the share
		waiting     int
		flows       []*flow
	}

	// flowKey identifies a flow. All calls of a flow have the same eligible engines.
	flowKey struct {
		item  *item // the adapter if the call names one, else the model
		model *item
		long  bool
		late  bool // can no longer meet the target of its class
		// tried are the engines that earlier attempts of the calls used or, for hedges, that are already serving them.
		tried mask
		hedge bool
	}

	// flow holds the waiting calls of one caller that can use the same engines, earliest deadline first.
	flow struct {
		flowKey
		calls       heap[*call]
		blockedStep int64 // step in which no engine was found for the first call; skipped for the rest of it
	}

	// call is a waiting or granted call. latestStartForTarget is the latest time of a grant that can meet the target
	// of the class; latestStart is the deadline of the call.
	call struct {
		req                  wire.TicketRequest
		class                *class
		caller               *caller
		item                 *item
		model                *item
		flow                 *flow
		arrived              time.Time
		latestStartForTarget time.Time
		latestStart          time.Time
		expectedTokens       float64
		long                 bool
		late                 bool
		tried                mask
		flowIndex            int
		deadlineIndex        int
		seq                  int64
	}

	// engine is an engine with its open tickets and the state of straggler detection.
	engine struct {
		EngineState
		bit                 mask
		index               int
		listed              bool // in the last call of SetEngines
		inFlight            int
		longSeqs            int
		prefillTokens       int       // prompt tokens of the tickets in prefilling
		prefilling          []*ticket // tickets without a first token
		slowdown            float64   // running mean of observed over predicted latency
		relativeSlowdown    float64   // slowdown over the median of the pool, at least 1
		observations        float64
		mode                engineMode
		probeAt             time.Time
		probeInterval       time.Duration
		openProbes          int
		passedProbes        int
		slowStartFrom       time.Time
		prefixes            *recentSet
		consecutiveFailures int
		// shortPressure is 1 while short calls wait for the engine, and decays to 0 afterwards.
		shortPressure    float64
		unavailableUntil time.Time
		drainingUntil    time.Time
	}

	// ticket is an open ticket: a call that is granted and not reported as done.
	ticket struct {
		id             string
		call           *call
		engine         *engine
		granted        time.Time
		lastReport     time.Time // of the last progress report, or of the grant
		firstTokenAt   time.Time
		tokens         int
		rateSince      time.Time // start of the current sample of the time per token
		rateBaseTokens int       // tokens at rateSince
		predictedTTFT  float64   // in ms
		prefillTokens  int       // prompt tokens that the engine computes for the call
		prefillBefore  int       // prompt tokens of earlier tickets in prefill at the grant
		batchSize      float64   // tickets on the engine at rateSince
		long           bool
		probe          bool
		slowProbe      bool // the probe has already lengthened the probe interval
		migrateSent    bool
		expiryIndex    int
		prefillIndex   int
	}

	// lengthKey identifies the calls that share an estimate of the output length.
	lengthKey struct {
		class  string
		item   *item
		caller string
	}
)

func (m mask) count() int { return bits.OnesCount64(uint64(m)) }

// nextDeadline returns when handleDeadlines has to mark the call as late or to reject it.
func (c *call) nextDeadline() time.Time {
	if !c.late && c.latestStartForTarget.Before(c.latestStart) {
		return c.latestStartForTarget
	}
	return c.latestStart
}

// readyEngines returns the engines on which both the model and the adapter of the call are ready.
func (c *call) readyEngines() mask {
	m := c.item.readyEngines()
	if c.model != c.item {
		m &= c.model.readyEngines()
	}
	return m
}

func (k flowKey) readyEngines() mask {
	m := k.item.readyEngines()
	if k.model != k.item {
		m &= k.model.readyEngines()
	}
	return m
}

// readyEngines returns the engines on which the item is resident or, if there are none, those with its fallback.
func (it *item) readyEngines() mask {
	if it.resident == 0 && it.fallback != nil {
		return it.fallback.resident
	}
	return it.resident
}

// versionOn returns the version of the item, as name@version, that is resident on e.
func (it *item) versionOn(e *engine) string {
	if it.resident&e.bit == 0 && it.fallback != nil && it.fallback.resident&e.bit != 0 {
		return it.fallback.name
	}
	return it.name
}
