// Package xhttp is the base of the HTTP clients of remote services. It sends requests that net/http does not retry by
// itself, limits the size of JSON responses, and reports whether a failed request may have reached its receiver.
//
// It imports go-zero, whose signal handler sends the process a second SIGTERM 5.5 s after the first. Each command that
// uses this package must raise that time with proc.SetTimeToForceQuit.
package xhttp
