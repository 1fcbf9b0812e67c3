package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/coralstair/coralstair/lab/standin"
)

const (
	// minBoundGap and boundGapSpread bound the time between the namings of two versions.
	minBoundGap    = 2 * time.Second
	boundGapSpread = 7 * time.Second
	// originAway is the longest time without the origin, so that servers keep a version past its bound.
	originAway = 9 * time.Second
)

// versionBoundPlan names versions while the origin is away and daemons restart alone, by site or all at once, stand still, or cannot reach
// the store.
func (r *rig) versionBoundPlan() []fault {
	rng := rand.New(rand.NewPCG(r.opts.Seed, 13))
	plan := []fault{{name: "origin away", duration: originAway/2 + time.Duration(rng.Int64N(int64(originAway/2))), do: r.originHop.disconnect, undo: r.originHop.heal}}
	for at := time.Duration(rng.Int64N(int64(time.Second))); at < r.opts.FaultPeriod; at += minBoundGap + time.Duration(rng.Int64N(int64(boundGapSpread))) {
		plan = append(plan, fault{name: "version", planned: true, at: at, do: func() { r.writeTarget() }, undo: func() {}})
	}
	kinds := r.boundFaults(rng)
	for at := time.Duration(0); at < r.opts.FaultPeriod; at += time.Duration(400+rng.IntN(1600)) * time.Millisecond {
		f := kinds[rng.IntN(len(kinds))]()
		f.at, f.duration = at, time.Duration(100+rng.IntN(1500))*time.Millisecond
		plan = append(plan, f)
	}
	return plan
}

// boundFaults returns a constructor per kind of fault that may make a daemon forget, or learn late, when a version was named.
func (r *rig) boundFaults(rng *rand.Rand) []func() fault {
	kill := func(name string, processes []*process) fault {
		return fault{
			name: "kill " + name,
			do: func() {
				for _, p := range processes {
					p.signal(syscall.SIGKILL, true)
				}
				for _, p := range processes {
					p.waitExit(0)
				}
			},
			undo: func() {
				for _, p := range processes {
					_ = p.start()
				}
			},
		}
	}
	ofSite := func(site int) (processes []*process) {
		for i, p := range r.entries {
			if i%len(sites) == site {
				processes = append(processes, p)
			}
		}
		return processes
	}
	return []func() fault{
		func() fault { return kill("all daemons", r.daemons()) },
		func() fault { return kill("all entries", r.entries) },
		func() fault { return kill("all boxes", r.boxes) },
		func() fault { site := rng.IntN(len(sites)); return kill("the entries of "+sites[site], ofSite(site)) },
		func() fault { p := r.entries[rng.IntN(len(r.entries))]; return kill(p.name, []*process{p}) },
		func() fault {
			p := r.entries[rng.IntN(len(r.entries))]
			return fault{name: "stop " + p.name, planned: true, do: func() { p.stop(bounds.Grace) }, undo: func() { _ = p.start() }}
		},
		func() fault {
			p := r.entries[rng.IntN(len(r.entries))]
			return fault{name: "pause " + p.name, do: func() { p.signal(syscall.SIGSTOP, false) }, undo: func() { p.signal(syscall.SIGCONT, false) }}
		},
		func() fault {
			i := rng.IntN(len(r.storeHops))
			return fault{
				name: fmt.Sprintf("cut store hop %d", i+1), do: func() { r.storeHops[i].blackhole(toCaller) }, undo: r.storeHops[i].heal,
			}
		},
		func() fault {
			i := rng.IntN(len(r.storeHops))
			return fault{
				name: fmt.Sprintf("delay store hop %d", i+1), do: func() { r.storeHops[i].delay(toCaller, 1000) }, undo: r.storeHops[i].heal,
			}
		},
	}
}

// checkVersionBounds checks that no request began on a version after its bound.
func (c *checker) checkVersionBounds() {
	for _, run := range c.runs {
		if late, newer := c.lateOnVersion(run); late > 0 {
			c.reportf("version: %s began on version %d at %s %s after the bound that version %d set", run.ID, run.Version, run.Server, late, newer)
		}
	}
}

// lateOnVersion returns by how much a request began after the bound of its version, and the version that set it.
func (c *checker) lateOnVersion(run standin.Run) (late time.Duration, newer int64) {
	for _, w := range c.rig.storeWrites {
		if run.Version != 0 && w.version > run.Version {
			if by := run.Began.Sub(w.acked.Add(bounds.Version)); by > late {
				late, newer = by, w.version
			}
		}
	}
	return late, newer
}
