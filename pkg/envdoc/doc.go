// Package envdoc parses, checks, compares and promotes the document that describes one environment.
package envdoc
