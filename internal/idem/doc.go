// Package idem keeps at-most-once records of calls that must not repeat in the key-value service.
package idem
