// Package replay simulates engines in virtual time, replays a trace of calls through the real dispatcher and planner,
// and compares the results with those of baseline policies and with an upper bound.
package replay
