// Package pmgr holds what one host does for one pool: it campaigns for the pool, dispatches it and sends its orders.
package pmgr
