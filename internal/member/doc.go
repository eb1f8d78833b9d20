// Package member keeps the membership table of the hosts by SWIM-style gossip: each host pings a few others in turn,
// suspects those that do not respond, and sends changes with its pings. Two more kinds of gossip entry travel with
// them: the owners of pools and the departures of upstreams.
package member
