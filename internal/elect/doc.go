// Package elect registers a host in the store and elects the leader, the one host that sends orders to engines.
//
// The registration and the leader key share one store lease. Leadership is valid by the host's own clock, which
// includes time in suspend. It ends before the lease can expire in the store and another host can become leader. A host
// that becomes leader after another one waits before its first order, so that orders of the two are not interleaved. A
// leader that cannot renew its lease may send orders for a while longer if all other hosts that it knows of promise to
// send none.
package elect
