// Package topo holds what a host knows of its deployment: the active configuration, the hosts and upstreams that exist,
// and what engines report and are ordered to do.
//
// The types are independent of the platform; an adapter package decodes the platform's messages into them.
package topo
