// Package trace records, reads and generates traces of calls. A trace holds sizes and times, never the text of prompts.
package trace
