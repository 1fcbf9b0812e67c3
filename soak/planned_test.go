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

// originRate, in kB/s, has pieces come as late as those of large weights.
const originRate = 20

// plannedSeeds are those of planned work alone that run in CI.
var plannedSeeds = []uint64{1, 2}

// TestPlannedWork proves that no request is lost beside planned work alone.
func TestPlannedWork(t *testing.T) {
	eachSeed(t, "planned", plannedSeeds, func(t *testing.T, opts Options) {
		opts.planned, opts.Callers, opts.Trouble = plannedWork, 32, 16*time.Second
		result := run(t, opts)
		for _, id := range result.Lost {
			t.Log(traced(t, opts.Dir, id))
		}
		if result.Served < 500 || result.Refused == 0 {
			t.Errorf("%d served and %d refused are no full load", result.Served, result.Refused)
		}
	})
}

// traced returns what the entries' logs say of a request.
func traced(t *testing.T, dir, id string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "entry-*.log"))
	if err != nil {
		t.Fatal(err)
	}
	told := id + ":"
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(data)) {
			var said struct {
				At, ID, Node, Msg, Outcome, Cause, Server, To string
				MS                                            int
				Tries                                         []string
			}
			if json.Unmarshal([]byte(line), &said) == nil && said.ID == id {
				told += fmt.Sprintf(" %s %s %q %s after %d ms at %s%s, %q, tries %q;",
					said.At, said.Node, said.Msg, said.Outcome, said.MS, said.Server, said.To, said.Cause, said.Tries)
			}
		}
	}
	return told
}

// plannedWork draws planned work in quick succession, and nothing else, from a run's seed.
func plannedWork(r *rig) []fault {
	r.toOrigin.squeeze(toCaller, originRate)
	turns := rand.New(rand.NewPCG(r.opts.Seed, 8))
	all, servers, first := r.daemons(), r.servers(), int(r.opts.Seed)
	var plan []fault
	every := func(least, spread time.Duration, draw func(n int) fault) {
		at := time.Duration(turns.Int64N(int64(spread)))
		for n := first; at < r.opts.Trouble; n++ {
			f := draw(n)
			f.at, f.planned = at, true
			plan = append(plan, f)
			at += least + time.Duration(turns.Int64N(int64(spread)))
		}
	}
	nothing := func() {}
	every(2*time.Second, 2*time.Second, func(int) fault {
		return fault{name: "version", do: func() { r.nameVersion() }, undo: nothing}
	})
	every(time.Second, 2*time.Second, func(int) fault {
		return fault{name: "configuration", do: func() { r.declare() }, undo: nothing}
	})
	every(time.Second, time.Second, func(int) fault {
		p := all[turns.IntN(len(all))]
		return fault{name: "reload " + p.name, do: func() { reload(p) }, undo: nothing}
	})
	every(3*time.Second, 2*time.Second, func(n int) fault {
		s := servers[n%len(servers)]
		return fault{name: "leave " + s.Address, lasts: bounds.Drain, do: s.Drain, undo: func() {
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

// reload has a process read its settings again, unless it was started just now and can not yet hear of it.
func reload(p *process) {
	p.mu.Lock()
	age := time.Since(p.began)
	p.mu.Unlock()
	if age > settleTime {
		p.signal(syscall.SIGHUP, false)
	}
}

// stopTwo stops two entries at a time and starts them again.
func stopTwo(r *rig, one, two *process) fault {
	return fault{
		name: "stop " + one.name + " and " + two.name,
		do: func() {
			var wg sync.WaitGroup
			wg.Go(func() { one.stop(r.size().grace) })
			two.stop(r.size().grace)
			wg.Wait()
		},
		undo: func() { _, _ = one.start(), two.start() },
	}
}
