// Package crowd emulates clients that nobody controls: they send heads, bodies and messages without end, or hold
// connections open. It measures the process that they reach.
package crowd
