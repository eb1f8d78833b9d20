// Package elect keeps a host's registration in the store and the seat of the one host that sends orders.
//
// Both hang on one lease. The seat is valid by the host's own clock, which goes on while the machine is suspended, and
// ends before the store can give the seat to another host. A host that takes the seat from another one waits until
// orders of the two cannot be taken for turns.
package elect
