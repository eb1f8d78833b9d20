// Package fresh keeps the time as of which a host's copy of the configuration is known to be complete, and decides when
// the host needs a further confirmation from the store. All times are boot times, which include time in suspend.
package fresh
