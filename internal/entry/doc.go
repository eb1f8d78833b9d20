// Package entry accepts calls from callers, forwards each to an upstream and relays the response.
//
// A response that is not a stream is read completely before anything is sent to the caller. Streams are relayed event
// by event; when the upstream of a resumable stream fails, another upstream continues it within the same response.
package entry
