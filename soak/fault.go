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

// fault is one thing that goes wrong for a while.
type fault struct {
	name string
	// planned work must cut off nothing, so nothing else may excuse it.
	planned bool
	at      time.Duration
	lasts   time.Duration
	do      func()
	undo    func()
}

// span is when a fault was on.
type span struct {
	name     string
	planned  bool
	from, to time.Time
}

// spans collects when faults were on.
type spans struct {
	mu  sync.Mutex
	all []span
}

func (s *spans) add(one span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, one)
}

func (s *spans) list() []span {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]span(nil), s.all...)
}

// plan draws the faults of a run from its seed: some come in series, and most overlap with others.
func (r *rig) plan() []fault {
	turns := rand.New(rand.NewPCG(r.opts.Seed, 7))
	kinds := r.kinds(turns)
	var plan []fault
	for at := time.Duration(0); at < r.opts.Trouble; at += time.Duration(200+turns.IntN(500)) * time.Millisecond {
		draw := kinds[turns.IntN(len(kinds))]
		series := 1
		if turns.IntN(5) == 0 {
			series = 2 + turns.IntN(2)
		}
		for n := range series {
			f := draw()
			f.at = at + time.Duration(n)*700*time.Millisecond
			f.lasts = time.Duration(200+turns.IntN(1800)) * time.Millisecond
			plan = append(plan, f)
		}
	}
	return append(plan, r.lostAnswers())
}

// lostAnswers is a fault of every run: at a plain service, whose requests may not be repeated, answers are lost.
func (r *rig) lostAnswers() fault {
	s := r.plain[int(r.opts.Seed)%len(r.plain)]
	return fault{
		name: "lose " + s.Address, at: r.opts.Trouble / 2, lasts: r.opts.Trouble / 4,
		do: func() { s.SetHarm(standin.Harm{Lose: 2}) }, undo: func() { s.SetHarm(standin.Harm{}) },
	}
}

// kinds returns what can go wrong; each call of one draws what it strikes, by numbers below another.
func (r *rig) kinds(turns *rand.Rand) []func() fault {
	kinds := slices.Concat(
		r.processFaults(turns.IntN), r.wayFaults(turns.IntN), r.platformFaults(turns.IntN), r.serverFaults(turns.IntN),
	)
	if r.opts.Copies {
		kinds = append(kinds, slices.Repeat([]func() fault{r.copyFault(turns.IntN)}, copyWeight)...)
	}
	if r.opts.Lives {
		kinds = append(kinds, r.lifeFaults(turns.IntN)...)
		kinds = append(kinds, r.lifeFaults(turns.IntN)...)
	}
	return kinds
}

// processFaults are those of daemons.
func (r *rig) processFaults(below func(int) int) []func() fault {
	all := r.daemons()
	restart := func(p *process) func() { return func() { _ = p.start() } }
	return []func() fault{
		func() fault {
			p := all[below(len(all))]
			return fault{name: "kill " + p.name, do: p.kill, undo: restart(p)}
		},
		func() fault {
			p := all[below(len(all))]
			return fault{
				name: "pause " + p.name, do: func() { p.signal(syscall.SIGSTOP, false) }, undo: func() { p.signal(syscall.SIGCONT, false) },
			}
		},
		func() fault {
			p := all[below(len(all))]
			return fault{name: "stop " + p.name, planned: true, do: func() { p.stop(bounds.Grace) }, undo: restart(p)}
		},
		func() fault {
			p := r.entries[below(len(r.entries))]
			return fault{name: "stop " + p.name, planned: true, do: func() { p.stop(bounds.Grace) }, undo: restart(p)}
		},
		func() fault {
			p := all[below(len(all))]
			return fault{name: "reload " + p.name, planned: true, do: func() { p.signal(syscall.SIGHUP, false) }, undo: func() {}}
		},
	}
}

// wayFaults are those of connections.
func (r *rig) wayFaults(below func(int) int) []func() fault {
	ways := map[string][]*hop{"store": r.toStore, "server": r.toServer, "box": r.toBox, "origin": {r.toOrigin}}
	names := []string{"store", "server", "box", "origin"}
	draw := func() (string, *hop) {
		name := names[below(len(names))]
		i := below(len(ways[name]))
		return fmt.Sprintf("%s way %d", name, i+1), ways[name][i]
	}
	directions := []string{toServer, toCaller}
	harm := func(what string, do func(h *hop, direction string)) func() fault {
		return func() fault {
			name, h := draw()
			direction := directions[below(2)]
			return fault{name: what + " " + name + " " + direction, do: func() { do(h, direction) }, undo: h.heal}
		}
	}
	return []func() fault{
		harm("delay", func(h *hop, direction string) { h.delay(direction, 150) }),
		harm("silence", func(h *hop, direction string) { h.silence(direction) }),
		harm("squeeze", func(h *hop, direction string) { h.squeeze(direction, 40) }),
		harm("cut", func(h *hop, _ string) { h.cut() }),
	}
}

// platformFaults are those of the store and the origin, and what operators do.
func (r *rig) platformFaults(below func(int) int) []func() fault {
	statuses := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}
	return []func() fault{
		func() fault {
			status := statuses[below(2)]
			return fault{
				name: fmt.Sprintf("store answers %d", status),
				do:   func() { r.store.Refuse(status) }, undo: func() { r.store.Refuse(0) },
			}
		},
		func() fault { return fault{name: "store forgets", do: r.store.Compact, undo: func() {}} },
		func() fault { return fault{name: "rows lapse", do: r.lapse, undo: r.beatAll} },
		func() fault {
			return fault{name: "origin spoils", do: func() { r.origin.Spoil(3) }, undo: func() { r.origin.Spoil(0) }}
		},
		func() fault {
			return fault{name: "configuration", planned: true, do: func() { r.declare() }, undo: func() {}}
		},
		func() fault {
			return fault{name: "version", planned: true, do: func() { r.nameVersion() }, undo: func() {}}
		},
	}
}

// serverFaults are those of the servers.
func (r *rig) serverFaults(below func(int) int) []func() fault {
	servers := r.servers()
	harm := func(what string, harm standin.Harm) func() fault {
		return func() fault {
			s := servers[below(len(servers))]
			return fault{name: what + " " + s.Address, do: func() { s.SetHarm(harm) }, undo: func() { s.SetHarm(standin.Harm{}) }}
		}
	}
	return []func() fault{
		harm("hang", standin.Harm{Hang: true}), harm("lose", standin.Harm{Lose: 4}), harm("tear", standin.Harm{Tear: 4}),
		harm("surplus", standin.Harm{Surplus: 3}), harm("fail", standin.Harm{Fail: 3}), harm("shed", standin.Harm{Shed: 2}),
		func() fault {
			s := r.engines[below(len(r.engines))]
			piece := below(standin.Pieces)
			return fault{name: "rot " + s.Address, do: func() { s.Rot(piece) }, undo: func() {}}
		},
		func() fault {
			s := servers[below(len(servers))]
			return fault{name: "crash " + s.Address, do: s.Crash, undo: func() { r.restart(s, false) }}
		},
		func() fault {
			s := r.engines[below(len(r.engines))]
			return fault{name: "power off " + s.Address, do: s.Crash, undo: func() { r.restart(s, true) }}
		},
	}
}

// lifeFaults are servers that start again under their ids, and entries of the list that another writer leaves.
func (r *rig) lifeFaults(below func(int) int) []func() fault {
	servers := r.servers()
	return []func() fault{
		func() fault {
			s := servers[below(len(servers))]
			return fault{name: "start again " + s.Address, do: s.Crash, undo: func() { r.startAgain(s) }}
		},
		func() fault {
			s := servers[below(len(servers))]
			return fault{name: "start again at once " + s.Address, do: func() { s.Crash(); r.startAgain(s) }, undo: func() {}}
		},
		func() fault {
			s, entry := servers[below(len(servers))], foreignEntries[below(len(foreignEntries))]
			return fault{
				name: "foreign entry at " + s.Address,
				do:   func() { r.store.Put(standin.TableServers, s.ID(), entry) }, undo: s.Beat,
			}
		},
	}
}

// foreignEntries are what another writer may leave where a server's entry stands.
var foreignEntries = []any{
	"no entry", []int{1, 2}, map[string]any{"service": 7}, map[string]any{"service": "desk", "address": "127.0.0.1:1", "state": "resting"},
}

// startAgain starts a server that crashed under the id that it had.
func (r *rig) startAgain(s *standin.Server) {
	s.Crash()
	_ = s.StartAgain()
}

// lapse takes all servers' rows away, as a store does that was away too long.
func (r *rig) lapse() {
	for _, s := range r.servers() {
		s.Forget()
	}
}

func (r *rig) beatAll() {
	for _, s := range r.servers() {
		s.Beat()
	}
}

// restart starts a server that crashed; it runs nothing until its box has it load.
func (r *rig) restart(s *standin.Server, wiped bool) {
	s.Crash()
	s.Forget()
	if wiped {
		s.Wipe()
	}
	_ = s.Start(0)
}

// run strikes all faults of a plan, each for its time, and returns when the last is over.
func (s *spans) run(plan []fault) {
	began := time.Now()
	var wg sync.WaitGroup
	for _, f := range plan {
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(f.at)))
			on := span{name: f.name, planned: f.planned, from: time.Now()}
			f.do()
			time.Sleep(f.lasts)
			f.undo()
			on.to = time.Now()
			s.add(on)
		})
	}
	wg.Wait()
}
