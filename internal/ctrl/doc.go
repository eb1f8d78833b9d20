// Package ctrl provides the event loop of a host: a single goroutine that owns all control state.
package ctrl
