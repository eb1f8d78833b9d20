// Package hosts emulates the service registry of the platform: an eventually consistent list of hosts and upstreams,
// which is published with a delay.
package hosts
