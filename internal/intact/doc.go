// Package intact decides whether an HTTP response whose end only the end of its connection shows is complete, and
// whether a status is that of a response.
//
// The end of the stream alone does not tell: a write that fails takes the error of the socket, and the next read of a
// connection that was reset then returns the end of the stream.
package intact
