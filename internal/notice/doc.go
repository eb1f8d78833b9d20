// Package notice keeps what upstreams state about themselves in their responses: that they take only so many calls a
// second from all hosts together, that they are leaving, or that they want no calls from this host for a while.
//
// A statement belongs to one instance of an upstream. A Table uses neither the network nor a clock. One Table serves
// the scheduler of model engines and the balancer of plain services of a host, and hosts send each other its State.
package notice
