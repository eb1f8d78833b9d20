//go:build !linux

package main

import "github.com/pkg/errors"

// usageOf returns an error: it needs the /proc file system of Linux.
func usageOf(int) (usage, error) {
	return usage{}, errors.New("process usage can only be read on Linux")
}
