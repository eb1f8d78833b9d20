// Package answer defines the errors that callers and operators see: a stable code, and whether the request was
// executed.
package answer
