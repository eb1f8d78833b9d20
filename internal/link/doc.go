// Package link sends messages between hosts over TCP, each encoded as one CBOR value.
//
// It uses TCP instead of QUIC: on hosts with a fraction of a core, a QUIC round trip costs three times the CPU time and
// a QUIC handshake takes five times as long, and the one connection between two hosts needs no streams.
package link
