// Package engine is the client of model engines: it starts generation streams, sends orders and reads status reports.
//
// It uses net/http instead of go-zero's httpc for two reasons: an order or attempt that httpc's circuit breaker rejects
// could not be told from one that was sent, and httpc gives no access to the connection.
package engine
