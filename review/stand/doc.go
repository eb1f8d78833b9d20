// Command stand runs the cases of the review that are scripts. It starts figreel hosts as separate processes on
// loopback addresses, with stand-ins of the platform's store, of engines and of consumers, which follow the users'
// pages.
package main
