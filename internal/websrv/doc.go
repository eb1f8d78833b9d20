// Package websrv runs an HTTP server on go-zero's rest package, without the middlewares that would respond in place of
// the handlers.
package websrv
