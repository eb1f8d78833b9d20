// Package hosts is a stand-in for the platform's lagging list of hosts and upstreams.
package hosts
