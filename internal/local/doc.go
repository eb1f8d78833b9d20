// Package local starts hosts and stand-ins as processes on loopback, for the demonstration and the process test.
package local
