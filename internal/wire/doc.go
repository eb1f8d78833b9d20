// Package wire defines the messages that hosts send each other; each is one CBOR value with integer keys.
package wire
