// Package entry takes calls from callers, sends each to an upstream and relays the answer.
//
// Whole answers are read before anything is sent to the caller. Streams are relayed event by event; a resumable stream
// whose upstream breaks goes on at another one within the same answer.
package entry
