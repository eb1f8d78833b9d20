// Package sched selects the engine that serves a call, and decides whether a call is queued or rejected.
//
// A Scheduler uses neither the network nor a clock. For each engine it tracks the calls that it has sent there, the
// prompt prefixes that these calls left in the engine's KV cache, and the time at which the engine is expected to have
// finished the prefill of all outstanding prompts. A Scheduler is not safe for concurrent use.
package sched
