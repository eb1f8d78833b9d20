// Package ticket carries asks to the dispatcher of a pool and tickets back, inside a host and between hosts.
package ticket
