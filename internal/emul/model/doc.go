// Package model emulates a model engine over HTTP. Its tokens are a deterministic function of the call, so a response
// that was resumed on another engine can be compared with one from a single engine.
package model
