// Package xhttp holds what the HTTP clients of the other peers share: requests that net/http cannot replay, bounded
// JSON answers, and whether a failed request can have reached its receiver.
//
// It imports go-zero, whose signal handler sends the process a second SIGTERM 5.5 s after the first; each command that
// uses this package must raise that time by proc.SetTimeToForceQuit.
package xhttp
