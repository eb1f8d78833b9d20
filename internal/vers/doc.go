// Package vers remembers which software version of which service began each stream, because a stream can only go on
// there, and which versions have been in service lately.
package vers
