// Package creds decides which workspace a call belongs to, by the key that its caller sends, and whether this host's
// copy of the configuration is new enough to decide that.
package creds
