// Package stub is a stand-in of the store in memory, with leases, watches, dropped history, outages and lost answers.
package stub
