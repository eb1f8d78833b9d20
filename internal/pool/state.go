package pool

import (
	"math/bits"
	"time"

	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

// maxEngines bounds a pool, because sets of engines are bit masks.
const maxEngines = 64

const (
	healthy engineMode = iota
	reduced
	ejected
)

type (
	engineMode uint8

	mask uint64

	// item is a model or adapter version.
	item struct {
		name     string
		resident mask
		loading  mask
		// older is another version of the same name that answers while this one is not resident.
		older  *item
		calls  rate
		tokens rate
	}

	class struct {
		envdoc.Class
		callers []*caller
		byName  map[string]*caller
		virtual float64
		first   quantiles
		hedgeMS int
		waiting int
		// active is the sum of the shares of callers with waiting calls.
		active float64
	}

	// caller is one caller's queue within a class.
	caller struct {
		share   float64
		tag     float64
		waiting int
		flows   []*flow
	}

	flowKey struct {
		need *item
		base *item
		long bool
		late bool
		// tried are the engines that failed the calls before.
		tried mask
		hedge bool
	}

	// flow holds the waiting calls of one caller that can use the same engines, earliest deadline first.
	flow struct {
		flowKey
		calls   heap[*call]
		blocked int64
	}

	call struct {
		ask      wire.TicketRequest
		class    *class
		caller   *caller
		need     *item
		base     *item
		flow     *flow
		arrived  time.Time
		targetBy time.Time
		startBy  time.Time
		expected float64
		long     bool
		late     bool
		tried    mask
		inFlow   int
		inTimer  int
		seq      int64
	}

	engine struct {
		EngineState
		bit      mask
		index    int
		known    bool
		inflight int
		long     int
		prefill  int
		pending  []*ticket
		ratio    float64
		relative float64
		samples  float64
		mode     engineMode
		probeAt  time.Time
		probeGap time.Duration
		probing  int
		good     int
		rampFrom time.Time
		prefixes *recent
		failures int
		// pressure is 1 while short calls wait for the engine, and fades afterwards.
		pressure    float64
		downTill    time.Time
		leavingTill time.Time
	}

	ticket struct {
		id         string
		call       *call
		engine     *engine
		granted    time.Time
		beat       time.Time
		firstAt    time.Time
		tokens     int
		rateAt     time.Time
		rateTokens int
		predicted  float64
		prompt     int
		ahead      int
		batch      float64
		long       bool
		probe      bool
		bad        bool
		moved      bool
		inTimer    int
		inPending  int
	}

	lengthKey struct {
		class  string
		item   *item
		caller string
	}
)

func (m mask) count() int { return bits.OnesCount64(uint64(m)) }

func (c *call) dueAt() time.Time {
	if !c.late && c.targetBy.Before(c.startBy) {
		return c.targetBy
	}
	return c.startBy
}

func (c *call) engines() mask {
	m := c.need.answering()
	if c.base != c.need {
		m &= c.base.answering()
	}
	return m
}

func (k flowKey) engines() mask {
	m := k.need.answering()
	if k.base != k.need {
		m &= k.base.answering()
	}
	return m
}

// answering returns the engines that hold the item, or while there are none those that hold its older version.
func (it *item) answering() mask {
	if it.resident == 0 && it.older != nil {
		return it.older.resident
	}
	return it.resident
}

// nameOn returns the version of the item that e holds.
func (it *item) nameOn(e *engine) string {
	if it.resident&e.bit == 0 && it.older != nil && it.older.resident&e.bit != 0 {
		return it.older.name
	}
	return it.name
}
