// Command stand3 plays the cases 11 to 15 of the review. It starts hosts as separate processes with the command of the
// deploy file, and stands in for the platform's store, the engines and the consumers. All addresses are loopback ones.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case could not run.
package main
