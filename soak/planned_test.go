package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// originRateKBps makes pieces download as slowly as those of large weights.
const originRateKBps = 20

// plannedSeeds are the seeds of TestPlannedWork that run in CI.
var plannedSeeds = []uint64{1, 2}

// TestPlannedWork checks that no request is lost during planned operations without faults.
func TestPlannedWork(t *testing.T) {
	eachSeed(t, "planned", plannedSeeds, func(t *testing.T, opts Options) {
		opts.planned, opts.Callers, opts.FaultPeriod = plannedWork, 32, 16*time.Second
		result := run(t, opts)
		for _, id := range result.Lost {
			t.Log(requestLog(t, opts.Dir, id))
		}
		if result.Served < 500 || result.Refused == 0 {
			t.Errorf("%d served and %d refused: the system was not fully loaded", result.Served, result.Refused)
		}
	})
}

// requestLog returns the entries' log lines about a request.
func requestLog(t *testing.T, dir, id string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "entry-*.log"))
	if err != nil {
		t.Fatal(err)
	}
	text := id + ":"
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(data)) {
			var entry struct {
				At, ID, Node, Msg, Outcome, Cause, Server, To string
				MS                                            int
				Tries                                         []string
			}
			if json.Unmarshal([]byte(line), &entry) == nil && entry.ID == id {
				text += fmt.Sprintf(" %s %s %q %s after %d ms at %s%s, %q, tries %q;",
					entry.At, entry.Node, entry.Msg, entry.Outcome, entry.MS, entry.Server, entry.To, entry.Cause, entry.Tries)
			}
		}
	}
	return text
}

// plannedWork draws planned operations in quick succession from the seed.
func plannedWork(r *rig) []fault {
	r.originHop.throttle(toCaller, originRateKBps)
	rng := rand.New(rand.NewPCG(r.opts.Seed, 8))
	all, servers, first := r.daemons(), r.servers(), int(r.opts.Seed)
	var plan []fault
	every := func(least, spread time.Duration, draw func(n int) fault) {
		at := time.Duration(rng.Int64N(int64(spread)))
		for n := first; at < r.opts.FaultPeriod; n++ {
			f := draw(n)
			f.at, f.planned = at, true
			plan = append(plan, f)
			at += least + time.Duration(rng.Int64N(int64(spread)))
		}
	}
	noop := func() {}
	every(2*time.Second, 2*time.Second, func(int) fault {
		return fault{name: "version", do: func() { r.writeTarget() }, undo: noop}
	})
	every(time.Second, 2*time.Second, func(int) fault {
		return fault{name: "configuration", do: func() { r.writeConfig() }, undo: noop}
	})
	every(time.Second, time.Second, func(int) fault {
		p := all[rng.IntN(len(all))]
		return fault{name: "reload " + p.name, do: func() { reload(p) }, undo: noop}
	})
	every(3*time.Second, 2*time.Second, func(n int) fault {
		s := servers[n%len(servers)]
		return fault{name: "leave " + s.Address, duration: bounds.Drain, do: s.Drain, undo: func() {
			for !s.Idle() {
				time.Sleep(settleTime)
			}
			r.restart(s, false)
		}}
	})
	every(7*time.Second, time.Second, func(n int) fault {
		return stopTwo(r, r.entries[n%len(r.entries)], r.entries[(n+1)%len(r.entries)])
	})
	return plan
}

// reload sends SIGHUP unless the process has just started and may not handle it yet.
func reload(p *process) {
	p.mu.Lock()
	age := time.Since(p.startedAt)
	p.mu.Unlock()
	if age > settleTime {
		p.signal(syscall.SIGHUP, false)
	}
}

// stopTwo stops two entries at the same time and restarts them.
func stopTwo(r *rig, one, two *process) fault {
	return fault{
		name: "stop " + one.name + " and " + two.name,
		do: func() {
			var wg sync.WaitGroup
			wg.Go(func() { one.stop(r.workload().grace) })
			two.stop(r.workload().grace)
			wg.Wait()
		},
		undo: func() { _, _ = one.start(), two.start() },
	}
}
