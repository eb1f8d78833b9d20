// Package stats holds the counters, gauges and latency histograms of a host, published by expvar.
package stats
