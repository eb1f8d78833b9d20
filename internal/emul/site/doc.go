// Package site runs a small deployment in one process: real hosts on loopback sockets, with a store in memory and
// emulated upstreams that state limits, departures and pauses on a schedule. It counts which host sent what to which
// upstream.
package site
