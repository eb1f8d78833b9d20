// Package kvfake is an in-memory fake of the key-value service with fault injection, for tests.
package kvfake
