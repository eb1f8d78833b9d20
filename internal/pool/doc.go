// Package pool schedules the calls of one pool: it decides which engine serves a call and when, or rejects the call.
package pool
