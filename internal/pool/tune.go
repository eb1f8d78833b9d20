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

// Tunables are the parameters of the scheduling policy. A zero field takes its default; a field that starts with No
// disables a component.
type Tunables struct {
	// TicketExpiry is the time without a progress report after which a ticket is closed.
	TicketExpiry time.Duration
	// LongTokens is the expected number of output tokens from which a call is long.
	LongTokens int
	// LongPrompt is the number of prompt tokens from which a call is long.
	LongPrompt int
	// LongShare is the maximum share of an engine's sequences for long calls.
	LongShare float64
	// ShortReserve is the share of an engine's sequences that must be free for a long call to start, so that short
	// calls find free slots.
	ShortReserve float64
	// MaxEjectedShare is the maximum share of a pool's engines that are ejected at the same time.
	MaxEjectedShare float64
	// ReduceRatio is the slowdown relative to the pool's median from which an engine gets a smaller share of calls.
	ReduceRatio float64
	// EjectRatio is the slowdown relative to the pool's median from which an engine gets only probes.
	EjectRatio float64
	// ProbeEvery is the initial interval between probes of an engine that is reduced or ejected.
	ProbeEvery time.Duration
	// SlowStart is the time in which the share of a reinstated engine grows back to all of its sequences.
	SlowStart time.Duration
	// PrefixShare is the fraction of a prompt that is assumed to be cached if its prefix was used on the engine.
	PrefixShare float64
	// HedgeQuantile is the quantile of the time to first token after which a hedge is advised.
	HedgeQuantile float64

	NoLongLimit  bool
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
