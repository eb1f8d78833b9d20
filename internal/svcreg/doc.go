// Package svcreg is the client of the platform's service registry, the list of live and leaving hosts and upstreams.
// The registry is eventually consistent.
package svcreg
