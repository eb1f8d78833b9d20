// Package h1 sends single HTTP/1.1 requests to upstreams over its own connection pool.
//
// It does not use net/http's Transport, because that retries requests automatically and hides whether a request was
// sent. Each response is matched to its request by the ID that upstreams echo, and a connection that has received
// unexpected bytes is not reused.
package h1
