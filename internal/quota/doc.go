// Package quota enforces the usage quotas of workspaces over all hosts together.
//
// A Limiter belongs to one host. While the host leads, it keeps one token bucket for each workspace and charges calls
// of all hosts to it. While the host follows, it charges plain calls from what the leader has last told and reports
// them in batches. While the host has no leader, it charges all its calls to accounts of its own, which get the host's
// part of the rate. Every part of the rate belongs to one host or one leader at a time: a follower lends its part to
// the leader by echoing stamps of the leader's boot clock, and takes it back when the leader must have stopped counting
// it.
//
// The package uses neither the network nor a clock: all times are arguments.
package quota
