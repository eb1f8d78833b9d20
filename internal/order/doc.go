// Package order reconciles the engines of a pool with the active document. It runs on the owner, the host that holds
// the lease of the pool, and sends the engines orders: load an item (a model or an adapter), unload it, or sync the
// fencing token. Each engine has a ledger in the key-value store, which lists the items and orders that may occupy its
// memory.
//
// An order is sent only after the ledger that includes it is stored, and the lease is checked immediately before each
// send. Without a valid lease, only loads that the stored ledger already includes are repeated, and only to engines
// that check fencing tokens: such an engine rejects the load when a new owner has raised the token.
package order
