package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/coralstair/coralstair/lab/standin"
)

const (
	// calmTime is how long servers work first: retries are allowed by the number of requests.
	calmTime = 8 * time.Second
	// spendTime is how long entries retry before they are first killed; later kills are 1 to 2 times restartInterval apart.
	spendTime       = 2500 * time.Millisecond
	restartInterval = time.Second
)

// failingPlan makes all model servers fail their requests while all entries are killed again and again.
func (r *rig) failingPlan() []fault {
	rng := rand.New(rand.NewPCG(r.opts.Seed, 10))
	var plan []fault
	for _, s := range r.engines {
		plan = append(plan, fault{
			name: "fail requests at " + s.Address, at: calmTime, duration: r.opts.FaultPeriod,
			do: func() { s.SetFaults(standin.Faults{Fail: 1}) }, undo: func() { s.SetFaults(standin.Faults{}) },
		})
	}
	for at := calmTime + spendTime; at < calmTime+r.opts.FaultPeriod; at += restartInterval + time.Duration(rng.Int64N(int64(restartInterval))) {
		for _, p := range r.entries {
			plan = append(plan, fault{name: "kill " + p.name, at: at, duration: settleTime / 2, do: p.kill, undo: func() { _ = p.start() }})
		}
	}
	return plan
}

// checkRetryBudget checks the retries of all entries together in every window.
func (c *checker) checkRetryBudget() {
	seen := make(map[string]bool)
	var first, retries []time.Time
	for _, a := range c.arrivals {
		if a.Service != modelService {
			continue
		}
		if seen[a.ID] {
			retries = append(retries, a.At)
		}
		seen[a.ID] = true
	}
	for _, o := range c.outcomes {
		if o.kind.forModels() {
			first = append(first, o.sent)
		}
	}
	var violation string
	for i, from := range retries {
		n, allowed := countWithin(retries[i:], from), bounds.Ratio*float64(requestsAround(first, from))+float64(bounds.Slack)
		if use := float64(n) / allowed; use > c.budgetUse {
			c.budgetUse = use
			violation = fmt.Sprintf("budget: %d retries in a window that allows %.0f", n, allowed)
		}
	}
	if c.budgetUse > 1 {
		c.reportf("%s", violation)
	}
}

// requestsAround returns how many requests count for the window from a time on: those of that window, of the one before it or
// of the one half a window before it, whichever are most.
func requestsAround(times []time.Time, from time.Time) int {
	return max(countWithin(times, from), countWithin(times, from.Add(-bounds.Window/2)), countWithin(times, from.Add(-bounds.Window)))
}

// countWithin returns how many of the times are in the window from a time on.
func countWithin(times []time.Time, from time.Time) int {
	n, to := 0, from.Add(bounds.Window)
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}
