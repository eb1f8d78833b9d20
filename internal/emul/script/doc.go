// Package script emulates a faulty HTTP/1.1 server byte for byte: it writes responses as they are given, and may send
// each of them once more.
package script
