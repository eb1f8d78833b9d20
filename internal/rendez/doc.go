// Package rendez ranks members for a key by rendezvous hashing; every host computes the same order.
package rendez
