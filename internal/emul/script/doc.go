// Package script emulates faulty HTTP/1.1 servers byte for byte: they write responses as they are given, and may send
// each of them once more or end the connection in the middle of one.
package script
