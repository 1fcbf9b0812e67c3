package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play runs a case; broken says that the rule was broken, err that the case could not run.
type play func(r *rig, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"surplus": playSurplus,
	"reborn":  playReborn,
	"spoilt":  playSpoilt,
	"held":    playHeld,
	"encoded": playEncoded,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	daemon := flag.String("daemon", "target/coralstaird", "the daemon's program")
	recordPath := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	rec, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	play, known := plays[*name]
	if !known {
		rec.notef("no case is named %q", *name)
		return exitNotRun
	}
	r, err := newRig(*daemon, rec)
	if err != nil {
		rec.notef("not run: %v", err)
		return exitNotRun
	}
	defer r.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		r.close()
		os.Exit(exitNotRun)
	}()
	broken, err := play(r, *trouble)
	switch {
	case err != nil:
		rec.notef("not run: %v", err)
		return exitNotRun
	case broken:
		rec.notef("result: the rule was broken")
		return exitBroken
	}
	rec.notef("result: the rule held")
	return exitHeld
}
