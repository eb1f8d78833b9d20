// Package websrv runs an HTTP server on go-zero's rest with the middlewares that would answer on their own switched
// off.
package websrv
