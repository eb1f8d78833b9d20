// Command scale measures how the cost of connections, membership and leases between hosts grows with the number of
// hosts or pools, and prints Markdown tables.
package main
