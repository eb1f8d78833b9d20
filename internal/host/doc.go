// Package host runs a host on a platform that holds the configuration, the list of upstreams and the membership in
// one store, and whose engines take orders.
//
// Every host takes calls. The host that holds the seat also decides for all calls to model engines and places models
// and adapters; while no other host reaches it, each decides alone by what it knows.
package host
