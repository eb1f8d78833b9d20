// Package fault gives every stand-in the same fault control and record, reached at /fault and /record.
package fault
