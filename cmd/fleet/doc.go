// Command fleet measures the cost of idle hosts, for several numbers of hosts. It starts them as processes on loopback
// and prints their CPU time, their memory and their calls to the key-value service.
package main
