// Package tline tells what happened to one call from the structured logs of several hosts.
package tline
