// Package pmgr manages one pool on one host. It campaigns for the lease of the pool; while it holds the lease, the host
// is the owner: it dispatches the calls of the pool and sends orders (loads and unloads) to its engines.
package pmgr
