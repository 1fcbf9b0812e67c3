package shortage

import (
	"math"
	"time"

	"github.com/coralstair/coralstair/admission"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/engine"
)

// offer is the server that an entry would send a try to, as it believes it to be.
type offer struct {
	server int
	load   engine.Load
	first  time.Duration
}

// ahead returns what is read before a try, without what it needs itself.
func (o offer) ahead(e *contract.Engine, prompt int) time.Duration {
	return o.first - (engine.First(e, o.load, prompt) - engine.First(e, o.load, 1))
}

// Way is a way of choosing a server and of letting tries in. Each entry has one of its own.
type Way interface {
	choose(e *contract.Engine, loads []engine.Load, prompt int) offer
	letIn(e *contract.Engine, c *caller, o offer, now time.Duration) bool
}

// errorTime is how much more time than the age of reports a wide choice is spread over, as entries do.
const errorTime = 200 * time.Millisecond

// Ways are the ways that can be compared, by name, as functions that give an entry its own.
var Ways = map[string]func() Way{
	"least in flight": func() Way { return leastInFlight{} },
	"own goal":        func() Way { return ownGoal{} },
	"admission":       func() Way { return &byPolicy{} },
	"longest wait":    func() Way { return &byLongestWait{} },
	"spread":          func() Way { return newBySpread(0) },
	"spread wider":    func() Way { return newBySpread(errorTime) },
}

// leastInFlight takes the server with the fewest requests, and lets in what finds room in its queue.
type leastInFlight struct{}

// queueRoom is how many requests a server queues beyond its slots.
const queueRoom = 32

func (leastInFlight) choose(_ *contract.Engine, loads []engine.Load, _ int) offer {
	best, fewest := 0, math.MaxInt
	for i, load := range loads {
		if n := load.Writing + load.Reading; n < fewest {
			best, fewest = i, n
		}
	}
	return offer{server: best, load: loads[best]}
}

func (leastInFlight) letIn(e *contract.Engine, _ *caller, o offer, _ time.Duration) bool {
	return o.load.Writing+o.load.Reading < e.Slots+queueRoom
}

// ownGoal takes the server with the soonest first event and lets in what is read within 0.8 of the try's own goal.
type ownGoal struct{}

// ownShare is the part of the own goal that may pass before a try is read.
const ownShare = 0.8

func (ownGoal) choose(e *contract.Engine, loads []engine.Load, prompt int) offer {
	best := offer{first: math.MaxInt64}
	for i, load := range loads {
		if first := engine.First(e, load, prompt); first < best.first {
			best = offer{server: i, load: load, first: first}
		}
	}
	return best
}

func (ownGoal) letIn(e *contract.Engine, c *caller, o offer, _ time.Duration) bool {
	return o.ahead(e, c.prompt) <= time.Duration(ownShare*float64(c.kind.Goal))
}

// byPolicy lets tries in as entries do, which know the requests that were refused.
type byPolicy struct {
	ownGoal
	policy admission.Policy
}

// epoch is when virtual time begins, for policies that are told the time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (w *byPolicy) letIn(e *contract.Engine, c *caller, o offer, now time.Duration) bool {
	waited := time.Duration(0)
	if c.returns {
		waited = now - c.began
	}
	return w.judge(e, c, o, waited, now)
}

// judge lets a try in that was tried first so long ago, 0 for a first try.
func (w *byPolicy) judge(e *contract.Engine, c *caller, o offer, waited, now time.Duration) bool {
	ask := admission.Ask{Kind: c.kind.Name, Goal: c.kind.Goal}
	w.policy.Note(ask, epoch.Add(now))
	return w.policy.LetIn(ask, waited, o.ahead(e, c.prompt))
}
