// Package sched decides which engine serves a call, and when a call waits or is refused.
//
// A Scheduler needs no network and no clock. It keeps, for each engine, the calls that it has sent there, the prompt
// parts that these calls left in the engine's memory, and the time at which the engine will have read all prompts that
// are still outstanding. One goroutine at a time may use it.
package sched
