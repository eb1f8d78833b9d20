// Package plain forwards calls to the upstreams of plain services.
//
// It uses net/http instead of go-zero's httpc, because httpc's circuit breaker would reject calls to all paths of
// a service when one path returns errors, and because httpc logs the URL of every call, which may contain a caller's
// data.
package plain
