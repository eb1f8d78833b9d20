// Package kv emulates the key-value service of the platform over HTTP: versioned keys, leases and watches.
package kv
