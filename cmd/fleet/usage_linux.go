package main

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	ticksPerS = 100 // USER_HZ on every Linux platform that Go supports
	// Indexes of the fields of /proc/PID/stat that follow the command name.
	fieldUserTime   = 11
	fieldSystemTime = 12
	fieldResident   = 21
)

// usageOf returns the CPU time and the resident memory of a process.
func usageOf(pid int) (usage, error) {
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return usage{}, errors.Wrap(err, "read process usage")
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= fieldResident {
		return usage{}, errors.Errorf("process usage has only %d fields", len(fields))
	}
	var n [3]int64
	for i, f := range []int{fieldUserTime, fieldSystemTime, fieldResident} {
		if n[i], err = strconv.ParseInt(fields[f], 10, 64); err != nil {
			return usage{}, errors.Wrap(err, "read process usage")
		}
	}
	return usage{
		cpu:      time.Duration(n[0]+n[1]) * time.Second / ticksPerS,
		memoryKB: n[2] * int64(os.Getpagesize()) / 1024,
	}, nil
}
