// Package memnet is a network in memory, so that clients and stand-ins take part in the virtual time of
// testing/synctest.
package memnet
