// Command demo builds figreel and starts three hosts on loopback, with emulators of the platform's services and of the
// upstreams. It sends calls through the hosts, kills one of them and sends a call through another.
package main
