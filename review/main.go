package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	// caseTimeout ends a case that does not end by itself.
	caseTimeout = 110 * time.Second
	recordFile  = "record.txt"
)

// cases are the scripts by the names under which run.sh starts them. Each returns how often its rule was broken.
var cases = map[string]func(r *rig) (broken int, err error){
	"attempts": playAttempts,
	"cutoff":   playCutoff,
	"twice":    playTwice,
	"whole":    playWhole,
}

func main() { os.Exit(run(os.Args)) }

// run plays the case args[1] and writes its record into the folder args[2].
func run(args []string) int {
	if len(args) != 3 || cases[args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(args[2], recordFile))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	r, err := newRig(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.printf("the case could not run: %v", err)
		return exitNotRun
	}
	defer r.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	// A reader that has gone must not end this process before the daemons.
	signal.Ignore(syscall.SIGPIPE)
	type verdict struct {
		broken int
		err    error
	}
	done := make(chan verdict, 1)
	go func() {
		broken, err := cases[args[1]](r)
		done <- verdict{broken, err}
	}()
	select {
	case v := <-done:
		return conclude(rec, r, v.broken, v.err)
	case <-stopped:
		rec.printf("the case was stopped")
	case <-time.After(caseTimeout):
		rec.printf("the case did not end in time")
	}
	return exitNotRun
}

// conclude records the verdict and returns the exit code.
func conclude(rec *record, r *rig, broken int, err error) int {
	ended := r.unexpectedExits()
	switch {
	case err == nil && len(ended) > 0:
		err = fmt.Errorf("daemons ended by themselves: %v", ended)
	case err == nil && broken > 0:
		rec.printf("VERDICT: broken, %d times", broken)
		return exitBroken
	case err == nil:
		rec.printf("VERDICT: held")
		return exitHeld
	}
	rec.printf("the case could not run: %v", err)
	return exitNotRun
}
