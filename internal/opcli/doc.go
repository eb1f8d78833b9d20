// Package opcli provides the operator commands of the command line; most of them call the operator API of a host.
package opcli
