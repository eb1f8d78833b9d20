// Command figreel runs one host of the serving system and provides the operator commands.
package main
