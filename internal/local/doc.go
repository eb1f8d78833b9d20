// Package local runs a small deployment as processes on loopback: hosts, and emulators of the systems around them.
// The demonstration, the measurement of idle hosts and the tests with real processes use it.
package local
