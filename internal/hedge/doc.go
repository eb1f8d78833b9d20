// Package hedge decides whether and when a call gets a second attempt beside a slow first one.
//
// A Policy belongs to one host and learns from the calls of that host only. It uses neither the network nor a clock:
// all times are arguments.
package hedge
