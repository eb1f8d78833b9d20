// Command load runs a small deployment with emulated upstreams in one process, sends it calls, and prints what reached
// each upstream from each host.
package main
