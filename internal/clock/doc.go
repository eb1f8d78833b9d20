// Package clock reads the boot-time clock and sleeps until a duration has passed or a context ends.
package clock
