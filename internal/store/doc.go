// Package store is the part of a platform's key-value service that hosts use: reads by prefix, watches, conditional
// writes of several keys, and leases. Errors are those of package kvapi.
package store
