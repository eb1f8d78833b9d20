// Package kvapi is the client of the platform's key-value service, which stores all durable state.
//
// It uses net/http instead of go-zero's httpc, because httpc's circuit breaker would keep rejecting lease renewals for
// seconds after the service has recovered.
package kvapi
