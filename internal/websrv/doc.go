// Package websrv runs an HTTP server on go-zero's rest package, with the middlewares off that would respond in place of
// the handlers.
package websrv
