// Package acks tells from the acknowledgements on a connection whether the peer still handles what is sent to it. An
// open connection does not: that of a suspended process, or of a machine that is cut off, stays open.
//
// It uses neither the network nor a clock: all times are arguments.
package acks
