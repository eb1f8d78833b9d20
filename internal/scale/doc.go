// Package scale measures the cost of coordination between hosts (membership, leases and connections) at several fleet
// sizes.
package scale
