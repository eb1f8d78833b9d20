// Package kv is a stand-in for the platform's key-value service.
package kv
