package pool

import "time"

const (
	defaultTicketExpiry  = 10 * time.Second
	defaultLongTokens    = 400
	defaultLongPrompt    = 3000
	defaultLongShare     = 0.65
	defaultShortReserve  = 0.2
	defaultMaxEjected    = 0.3
	defaultReduceRatio   = 1.7
	defaultEjectRatio    = 2.5
	defaultProbeEvery    = 2 * time.Second
	defaultSlowStart     = 4 * time.Second
	defaultPrefixShare   = 0.6
	defaultHedgeQuantile = 0.95
)

// Tunables are the settings of the policy; a zero field takes its default, and a No field switches a part off.
type Tunables struct {
	// TicketExpiry is how long a ticket lives without a beat.
	TicketExpiry time.Duration
	// LongTokens is the expected output length from which a call is long.
	LongTokens int
	// LongPrompt is the prompt length from which a call is long.
	LongPrompt int
	// LongShare is the share of an engine's sequences that long calls may hold.
	LongShare float64
	// ShortReserve is the share of an engine's sequences that a long call leaves free when it starts.
	ShortReserve float64
	// MaxEjectedShare is the share of a pool's engines that may be ejected at once.
	MaxEjectedShare float64
	// ReduceRatio is the slowness against the pool's median from which an engine gets less work.
	ReduceRatio float64
	// EjectRatio is the slowness against the pool's median from which an engine gets only probes.
	EjectRatio float64
	// ProbeEvery is the first interval between probes of an ejected engine.
	ProbeEvery time.Duration
	// SlowStart is how long a returned engine takes to get its whole share again.
	SlowStart time.Duration
	// PrefixShare is the part of a prompt that a cached prefix is assumed to cover.
	PrefixShare float64
	// HedgeQuantile is the quantile of first-token times after which a hedge is advised.
	HedgeQuantile float64

	NoLanes      bool
	NoFairness   bool
	NoStragglers bool
	NoAffinity   bool
	NoHedging    bool
}

func (t Tunables) withDefaults() Tunables {
	setDefault(&t.TicketExpiry, defaultTicketExpiry)
	setDefault(&t.LongTokens, defaultLongTokens)
	setDefault(&t.LongPrompt, defaultLongPrompt)
	setDefault(&t.LongShare, defaultLongShare)
	setDefault(&t.ShortReserve, defaultShortReserve)
	setDefault(&t.MaxEjectedShare, defaultMaxEjected)
	setDefault(&t.ReduceRatio, defaultReduceRatio)
	setDefault(&t.EjectRatio, defaultEjectRatio)
	setDefault(&t.ProbeEvery, defaultProbeEvery)
	setDefault(&t.SlowStart, defaultSlowStart)
	setDefault(&t.PrefixShare, defaultPrefixShare)
	setDefault(&t.HedgeQuantile, defaultHedgeQuantile)
	return t
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
