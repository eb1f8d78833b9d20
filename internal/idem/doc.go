// Package idem executes non-idempotent calls at most once per idempotency key, with records in the key-value service.
package idem
