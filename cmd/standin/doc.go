// Command standin runs an HTTP emulator of one service of the platform or of an upstream. GET /fault returns and POST
// /fault sets the fault that it injects; GET /record returns a record of the requests that it received.
package main
