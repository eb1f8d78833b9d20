// Package store is the interface to the part of a platform's key-value service that hosts use: reads by prefix,
// watches, conditional writes of several keys, and leases. Its errors have the meaning of those in package kvapi.
package store
