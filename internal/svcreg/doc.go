// Package svcreg reads the platform's list of live and leaving hosts and upstreams, which lags behind reality.
package svcreg
