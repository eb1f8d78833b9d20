package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxPlay bounds the time of one case.
const maxPlay = 110 * time.Second

// play is one case: it returns whether the rule was broken. Without trouble it leaves the disruption out.
type play func(ctx context.Context, s *site, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"takeups": playTakeUps,
	"silent":  playSilent,
	"crash":   playCrash,
	"adapter": playAdapter,
	"split":   playSplit,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE PROGRAM RECORD")
		os.Exit(exitFailed)
	}
	p, ok := plays[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitFailed)
	}
	broken, err := run(p, os.Args[2], os.Args[3])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "case could not run:", err)
		os.Exit(exitFailed)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// run plays a case with the program of the project, and writes the record.
func run(p play, program, recordFile string) (broken bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxPlay)
	defer cancel()
	program, err = filepath.Abs(program)
	if err != nil {
		return false, errors.Wrap(err, "path of the program")
	}
	dir, err := os.MkdirTemp("", "figreel-review-")
	if err != nil {
		return false, errors.Wrap(err, "temporary folder")
	}
	s := newSite(program, dir)
	s.closeAtEnd()
	defer func() {
		s.close()
		if err == nil {
			err = s.record.save(recordFile)
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println("logs are in", dir)
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	s.record.add("trouble %v", trouble)
	broken, err = p(ctx, s, trouble)
	s.record.add("rule broken: %v", broken)
	return broken, err
}
