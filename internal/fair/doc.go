// Package fair orders the waiting calls of several workspaces by start-time fair queueing.
//
// Every engine has a virtual time: it advances by the work of each call that the engine gets, divided by the number of
// workspaces that compete for the engine. The lead of a workspace on an engine is the work that it got there minus the
// engine's virtual time. A call waits for a pool, the engines that can serve it, and its workspace's lead is the mean
// over that pool. The workspace with the smallest lead goes first, so that the workspaces that compete for the same
// engines get the same work from them, whatever they get from other engines.
//
// A workspace that starts to wait gets a lead of at least zero, so that it has no credit for the time in which it asked
// for nothing. Work is forgotten exponentially, so that old differences do not decide.
//
// The package uses neither the network nor a clock. A Queue is not safe for concurrent use.
package fair
