// Package memnet is an in-memory network. It lets clients and emulators run on the virtual time of testing/synctest,
// which does not work with real sockets.
package memnet
