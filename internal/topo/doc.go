// Package topo holds what a host knows of its deployment: the configuration in force and the upstreams that exist.
//
// The types carry no wire names; an adapter decodes its platform's messages into them.
package topo
