// Package link carries messages between hosts over TCP, one CBOR value each.
//
// TCP takes the place of QUIC here: on hosts with a part of a core, a QUIC round trip costs three times the processor
// time and a handshake five times the wait, and one connection between two hosts needs no streams.
package link
