// Package simnet is an in-memory network of hosts for tests and simulations in virtual time.
package simnet
