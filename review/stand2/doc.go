// Command stand2 plays the scripted cases of the second review: it starts figreel hosts as separate processes, with
// stand-ins of the platform's store, of model engines and of consumers, all on loopback addresses. It writes what was
// sent, answered and run to record.txt, and exits with 1 if the rule of the case was broken, with 0 if it held and with
// 2 if the case could not run.
package main
