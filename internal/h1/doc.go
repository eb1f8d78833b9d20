// Package h1 sends single HTTP/1.1 requests to upstreams over connections of its own.
//
// It does not use net/http's Transport, because that resends requests on its own and hides whether a request left the
// host. Each answer is matched to its request by the id that upstreams echo, and a connection that held bytes nobody
// asked for is not used again.
package h1
