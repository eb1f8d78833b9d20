// Package qrpc carries exchanges between hosts over QUIC with mutual TLS, one stream per exchange.
package qrpc
