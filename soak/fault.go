package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/coralstair/coralstair/lab/standin"
)

// fault is one fault or planned operation: do starts it, undo ends it.
type fault struct {
	name string
	// planned marks an operation that must not interrupt any request.
	planned  bool
	at       time.Duration
	duration time.Duration
	do       func()
	undo     func()
}

// faultSpan is the period in which a fault was active.
type faultSpan struct {
	name     string
	planned  bool
	from, to time.Time
}

// faultLog records when faults were active.
type faultLog struct {
	mu  sync.Mutex
	all []faultSpan
}

func (l *faultLog) add(span faultSpan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, span)
}

func (l *faultLog) list() []faultSpan {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]faultSpan(nil), l.all...)
}

// planFaults draws overlapping faults from the seed, some of them in series.
func (r *rig) planFaults() []fault {
	rng := rand.New(rand.NewPCG(r.opts.Seed, 7))
	kinds := r.faultKinds(rng)
	var plan []fault
	for at := time.Duration(0); at < r.opts.FaultPeriod; at += time.Duration(200+rng.IntN(500)) * time.Millisecond {
		draw := kinds[rng.IntN(len(kinds))]
		series := 1
		if rng.IntN(5) == 0 {
			series = 2 + rng.IntN(2)
		}
		for n := range series {
			f := draw()
			f.at = at + time.Duration(n)*700*time.Millisecond
			f.duration = time.Duration(200+rng.IntN(1800)) * time.Millisecond
			plan = append(plan, f)
		}
	}
	return append(plan, r.lostResponses())
}

// lostResponses makes a plain server drop responses, also to requests that must not be repeated; every fault plan has it.
func (r *rig) lostResponses() fault {
	s := r.plain[int(r.opts.Seed)%len(r.plain)]
	return fault{
		name: "lose responses of " + s.Address, at: r.opts.FaultPeriod / 2, duration: r.opts.FaultPeriod / 4,
		do: func() { s.SetFaults(standin.Faults{DropResponse: 2}) }, undo: func() { s.SetFaults(standin.Faults{}) },
	}
}

// faultKinds returns a constructor per kind of fault; each call draws a random target.
func (r *rig) faultKinds(rng *rand.Rand) []func() fault {
	kinds := slices.Concat(
		r.processFaults(rng.IntN), r.networkFaults(rng.IntN), r.platformFaults(rng.IntN), r.serverFaults(rng.IntN),
	)
	if r.opts.StoreRestores {
		kinds = append(kinds, slices.Repeat([]func() fault{r.restoreFault(rng.IntN)}, restoreWeight)...)
	}
	if r.opts.Sites {
		kinds = append(kinds, slices.Repeat(r.siteFaults(rng.IntN), siteWeight)...)
	}
	if r.opts.Restarts {
		kinds = append(kinds, r.restartFaults(rng.IntN)...)
		kinds = append(kinds, r.restartFaults(rng.IntN)...)
	}
	return kinds
}

// processFaults are kills, pauses, stops and reloads of daemons.
func (r *rig) processFaults(intN func(int) int) []func() fault {
	all := r.daemons()
	restart := func(p *process) func() { return func() { _ = p.start() } }
	return []func() fault{
		func() fault {
			p := all[intN(len(all))]
			return fault{name: "kill " + p.name, do: p.kill, undo: restart(p)}
		},
		func() fault {
			p := all[intN(len(all))]
			return fault{
				name: "pause " + p.name, do: func() { p.signal(syscall.SIGSTOP, false) }, undo: func() { p.signal(syscall.SIGCONT, false) },
			}
		},
		func() fault {
			p := all[intN(len(all))]
			return fault{name: "stop " + p.name, planned: true, do: func() { p.stop(bounds.Grace) }, undo: restart(p)}
		},
		func() fault {
			p := r.entries[intN(len(r.entries))]
			return fault{name: "stop " + p.name, planned: true, do: func() { p.stop(bounds.Grace) }, undo: restart(p)}
		},
		func() fault {
			p := all[intN(len(all))]
			return fault{name: "reload " + p.name, planned: true, do: func() { p.signal(syscall.SIGHUP, false) }, undo: func() {}}
		},
	}
}

// networkFaults are faults of the proxied connections.
func (r *rig) networkFaults(intN func(int) int) []func() fault {
	hops := map[string][]*hop{"store": r.storeHops, "server": r.serverHops, "box": r.boxHops, "origin": {r.originHop}}
	names := []string{"store", "server", "box", "origin"}
	draw := func() (string, *hop) {
		name := names[intN(len(names))]
		i := intN(len(hops[name]))
		return fmt.Sprintf("%s hop %d", name, i+1), hops[name][i]
	}
	directions := []string{toServer, toCaller}
	newFault := func(name string, do func(h *hop, direction string)) func() fault {
		return func() fault {
			hopName, h := draw()
			direction := directions[intN(2)]
			return fault{name: name + " " + hopName + " " + direction, do: func() { do(h, direction) }, undo: h.heal}
		}
	}
	return []func() fault{
		newFault("delay", func(h *hop, direction string) { h.delay(direction, 150) }),
		newFault("blackhole", func(h *hop, direction string) { h.blackhole(direction) }),
		newFault("throttle", func(h *hop, direction string) { h.throttle(direction, 40) }),
		newFault("disconnect", func(h *hop, _ string) { h.disconnect() }),
	}
}

// platformFaults are faults of the store and the origin, and operators' changes.
func (r *rig) platformFaults(intN func(int) int) []func() fault {
	statuses := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}
	return []func() fault{
		func() fault {
			status := statuses[intN(2)]
			return fault{
				name: fmt.Sprintf("store responds %d", status),
				do:   func() { r.store.SetErrorStatus(status) }, undo: func() { r.store.SetErrorStatus(0) },
			}
		},
		func() fault { return fault{name: "store compacts its history", do: r.store.Compact, undo: func() {}} },
		func() fault { return fault{name: "rows expire", do: r.expireRows, undo: r.heartbeatAll} },
		func() fault {
			return fault{name: "origin corrupts pieces", do: func() { r.origin.CorruptEvery(3) }, undo: func() { r.origin.CorruptEvery(0) }}
		},
		func() fault {
			return fault{name: "configuration", planned: true, do: func() { r.writeConfig() }, undo: func() {}}
		},
		func() fault {
			return fault{name: "version", planned: true, do: func() { r.writeTarget() }, undo: func() {}}
		},
	}
}

// serverFaults are faulty responses, corrupt pieces and crashes of servers.
func (r *rig) serverFaults(intN func(int) int) []func() fault {
	servers := r.servers()
	newFault := func(name string, faults standin.Faults) func() fault {
		return func() fault {
			s := servers[intN(len(servers))]
			return fault{name: name + " " + s.Address, do: func() { s.SetFaults(faults) }, undo: func() { s.SetFaults(standin.Faults{}) }}
		}
	}
	return []func() fault{
		newFault("hang", standin.Faults{Hang: true}), newFault("lose responses of", standin.Faults{DropResponse: 4}), newFault("truncate responses of", standin.Faults{Truncate: 4}),
		newFault("surplus responses of", standin.Faults{ExtraResponse: 3}), newFault("fail requests at", standin.Faults{Fail: 3}), newFault("shed load at", standin.Faults{Shed: 2}),
		func() fault {
			s := r.engines[intN(len(r.engines))]
			piece := intN(standin.Pieces)
			return fault{name: "corrupt a piece at " + s.Address, do: func() { s.CorruptPiece(piece) }, undo: func() {}}
		},
		func() fault {
			s := servers[intN(len(servers))]
			return fault{name: "crash " + s.Address, do: s.Crash, undo: func() { r.restart(s, false) }}
		},
		func() fault {
			s := r.engines[intN(len(r.engines))]
			return fault{name: "power off " + s.Address, do: s.Crash, undo: func() { r.restart(s, true) }}
		},
	}
}

// restartFaults are servers that restart under the same ID, and malformed list entries of another writer.
func (r *rig) restartFaults(intN func(int) int) []func() fault {
	servers := r.servers()
	return []func() fault{
		func() fault {
			s := servers[intN(len(servers))]
			return fault{name: "restart with the same ID " + s.Address, do: s.Crash, undo: func() { r.restartSameID(s) }}
		},
		func() fault {
			s := servers[intN(len(servers))]
			return fault{name: "restart at once with the same ID " + s.Address, do: func() { s.Crash(); r.restartSameID(s) }, undo: func() {}}
		},
		func() fault {
			s, entry := servers[intN(len(servers))], foreignEntries[intN(len(foreignEntries))]
			return fault{
				name: "foreign entry at " + s.Address,
				do:   func() { r.store.Put(standin.TableServers, s.ID(), entry) }, undo: s.WriteHeartbeat,
			}
		},
	}
}

// foreignEntries are malformed or unexpected list entries.
var foreignEntries = []any{
	"no entry", []int{1, 2}, map[string]any{"service": 7}, map[string]any{"service": "desk", "address": "127.0.0.1:1", "state": "resting"},
}

// restartSameID restarts a server under its previous ID.
func (r *rig) restartSameID(s *standin.Server) {
	s.Crash()
	_ = s.Restart()
}

// expireRows deletes the list entries of all servers, as a store does after a long outage.
func (r *rig) expireRows() {
	for _, s := range r.servers() {
		s.Deregister()
	}
}

func (r *rig) heartbeatAll() {
	for _, s := range r.servers() {
		s.WriteHeartbeat()
	}
}

// restart restarts a crashed server under a new ID; no version is loaded until its box orders it.
func (r *rig) restart(s *standin.Server, wiped bool) {
	s.Crash()
	s.Deregister()
	if wiped {
		s.WipeStaged()
	}
	_ = s.Start(0)
}

// run executes all faults of a plan at their times and returns after the last has ended.
func (l *faultLog) run(plan []fault) {
	began := time.Now()
	var wg sync.WaitGroup
	for _, f := range plan {
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(f.at)))
			span := faultSpan{name: f.name, planned: f.planned, from: time.Now()}
			f.do()
			time.Sleep(f.duration)
			f.undo()
			span.to = time.Now()
			l.add(span)
		})
	}
	wg.Wait()
}
