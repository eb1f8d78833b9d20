// Package loads divides the weight store's limits between pools by load tickets.
//
// A load of a model takes a token of loads_per_s and a slot of at_once. A load of an adapter takes only a slot of
// adapters_in_transit, because it is too small to count against the rate. A limit of 0 means no limit.
//
// The limiter is the host with the lease weight/<env>; it grants the tickets. Without a limiter a load waits. A load
// that restores a missing item or a minimum number of replicas may use the pool's fixed share after
// Client.FallbackAfter: the limits divided by the number of pools, rounded down. That keeps within the limits, because
// a limiter withholds the share of every pool that has not contacted it for a lease time, and because FallbackAfter is
// longer than a lease time and a load together.
package loads
