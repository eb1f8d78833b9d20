// Package tline prints the timeline of one call from the structured logs of several hosts.
package tline
