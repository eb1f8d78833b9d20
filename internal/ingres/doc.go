// Package ingres limits what clients that nobody controls can take of a process: connections, and the memory of the
// heads (request line and header fields) of all requests together. The HTTP server is that of the standard library.
//
// A Gate holds the limits of a process. Its listeners count their connections, and their connections count the bytes of
// each head while they arrive. Where room is short, connections are closed in this order: those that have sent nothing,
// those whose head has been incomplete for longest, kept ones that have been idle for longest, and those that send a
// body at less than 1 KiB a second. A connection in use is not closed otherwise.
package ingres
