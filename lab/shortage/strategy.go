package shortage

import (
	"math"
	"time"

	"github.com/coralstair/coralstair/admission"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/engine"
)

// placement is a chosen server with its load and the time to the first event, as the entry estimates them.
type placement struct {
	server      int
	load        engine.Load
	timeToFirst time.Duration
	// rank is the rank by which the server orders the request among those that wait.
	rank int
}

// view is what an entry knows of the servers: their estimated loads, and its own attempts there without a first event.
type view struct {
	loads   []engine.Load
	pending [][]*attempt
}

// queueDelay returns the time to the first event without the prefill time of the request itself.
func (p placement) queueDelay(e *contract.Engine, prompt int) time.Duration {
	return p.timeToFirst - (engine.TimeToFirstEvent(e, p.load, prompt) - engine.TimeToFirstEvent(e, p.load, 1))
}

// Strategy chooses a server for a request and decides on its admission; each entry has its own instance.
type Strategy interface {
	choose(e *contract.Engine, v view, c *caller) placement
	admit(e *contract.Engine, c *caller, p placement, now time.Duration) bool
}

// extraWindow is added to the age of reports for a wide spread, as entries do.
const extraWindow = 200 * time.Millisecond

// Strategies holds the constructors of all strategies by name.
var Strategies = map[string]func() Strategy{
	"least in flight": func() Strategy { return leastInFlight{} },
	"own goal":        func() Strategy { return goalBased{} },
	"admission":       func() Strategy { return &admissionPolicy{} },
	"longest wait":    func() Strategy { return &longestWait{} },
	"spread":          func() Strategy { return newSpreadChoice(0) },
	"spread wider":    func() Strategy { return newSpreadChoice(extraWindow) },
	"ranks":           func() Strategy { return &ranked{spreadChoice: *newSpreadChoice(extraWindow)} },
}

// leastInFlight chooses the server with the fewest requests and admits until its queue is full.
type leastInFlight struct{}

// queueLimit is the number of requests queued at a server beyond its slots.
const queueLimit = 32

func (leastInFlight) choose(_ *contract.Engine, v view, _ *caller) placement {
	best, fewest := 0, math.MaxInt
	for i, load := range v.loads {
		if n := load.Decoding + load.Prefilling; n < fewest {
			best, fewest = i, n
		}
	}
	return placement{server: best, load: v.loads[best]}
}

func (leastInFlight) admit(e *contract.Engine, _ *caller, p placement, _ time.Duration) bool {
	return p.load.Decoding+p.load.Prefilling < e.Slots+queueLimit
}

// goalBased chooses the server with the earliest first event and admits if the queue delay fits the request's goal.
type goalBased struct{}

// goalShare is the fraction of the goal that the queue delay may use.
const goalShare = 0.8

func (goalBased) choose(e *contract.Engine, v view, c *caller) placement {
	best := placement{timeToFirst: math.MaxInt64}
	for i, load := range v.loads {
		if first := engine.TimeToFirstEvent(e, load, c.prompt); first < best.timeToFirst {
			best = placement{server: i, load: load, timeToFirst: first}
		}
	}
	return best
}

func (goalBased) admit(e *contract.Engine, c *caller, p placement, _ time.Duration) bool {
	return p.queueDelay(e, c.prompt) <= time.Duration(goalShare*float64(c.kind.Goal))
}

// admissionPolicy admits by the entries' policy, with retries known exactly.
type admissionPolicy struct {
	goalBased
	policy admission.Policy
}

// startTime is the start of virtual time as passed to the policy.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (s *admissionPolicy) admit(e *contract.Engine, c *caller, p placement, now time.Duration) bool {
	waited := time.Duration(0)
	if c.retried {
		waited = now - c.firstTry
	}
	return s.admitAfter(e, c, p, waited, now)
}

// admitAfter applies the policy to a request first tried a duration ago; 0 means a first try.
func (s *admissionPolicy) admitAfter(e *contract.Engine, c *caller, p placement, waited, now time.Duration) bool {
	request := admission.Request{Route: c.kind.Name, Goal: c.kind.Goal}
	s.policy.Record(request, startTime.Add(now))
	return s.policy.Admit(request, waited, p.queueDelay(e, c.prompt))
}
