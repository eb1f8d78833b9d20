// Package simnet simulates the network between hosts in memory, with delays and faults, for tests and simulations in
// virtual time.
package simnet
