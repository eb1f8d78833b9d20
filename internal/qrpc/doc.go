// Package qrpc is the transport between hosts: streams of CBOR messages over QUIC with mutual TLS.
//
// Two hosts share one connection, on which either side opens streams. The first frame of a stream names its kind,
// which selects the handler on the other side.
package qrpc
