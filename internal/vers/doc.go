// Package vers remembers which software version of a service began each stream, because a stream can only go on at that
// version, and which versions have been in service lately.
package vers
