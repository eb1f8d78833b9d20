// Package stub is an in-memory fake of the store for tests, with leases, watches, compaction, outages and lost
// responses.
package stub
