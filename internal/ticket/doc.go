// Package ticket sends ticket requests to the dispatcher of a pool and returns its tickets, within a host and between
// hosts. A ticket is the right to send one attempt of a call to one engine.
package ticket
