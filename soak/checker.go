package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/coralstair/coralstair/lab/standin"
)

const (
	// settleTime allows for clock differences and scheduling delays on top of a bound.
	settleTime = 500 * time.Millisecond
	// minRecoveredShare is the least fraction of requests served after all faults have ended.
	minRecoveredShare = 0.95
	// minRequests is the least number of requests for a served fraction; fewer are a violation.
	minRequests = 20
)

// checker verifies the invariants against what callers and servers recorded.
type checker struct {
	rig         *rig
	outcomes    []outcome
	runs        []standin.Run
	arrivals    []standin.Arrival
	faultSpans  []faultSpan
	recovery    recoveryPhase
	crashes     []crash
	pushbacks   []standin.PushbackRecord
	outcomeByID map[string]outcome
	violations  []string
	lost        []string
	limitUse    float64
	budgetUse   float64
	rankShares  string
}

// recoveryPhase is the period after all faults, in which time bounds are checked too.
type recoveryPhase struct {
	from, to  time.Time
	config    storeWrite
	target    storeWrite
	leavingID string
	drainedAt time.Time
}

func (c *checker) reportf(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// check returns the violations.
func (c *checker) check() []string {
	c.outcomeByID = make(map[string]outcome, len(c.outcomes))
	for _, o := range c.outcomes {
		c.outcomeByID[o.request.ID] = o
	}
	c.checkResponses()
	c.checkAuthorized()
	c.checkNotRepeated()
	c.checkRevisions()
	c.checkRetryBudget()
	if c.rig.opts.VersionBounds {
		c.checkVersionBounds()
	}
	if c.rig.opts.Sites {
		c.checkSites()
	}
	switch {
	case c.rig.opts.planned != nil:
		c.checkNothingLost()
	case c.rig.opts.Deadly+c.rig.opts.DeadlyParts > 0:
		c.checkDeadly()
	case c.rig.opts.pushback != noPushback:
		c.checkPushback()
	case c.rig.opts.FailingServers:
	case c.rig.opts.Ranks:
		c.checkRanks()
	default:
		c.checkPlannedStops()
		c.checkRecovery()
	}
	for _, violation := range c.rig.runs.Violations() {
		c.reportf("weights: %s", violation)
	}
	for name, megabytes := range c.rig.excesses {
		c.reportf("memory: %s held %d MB, of at most %d", name, megabytes, crowdMemoryMB)
	}
	for _, p := range c.rig.daemons() {
		for _, exit := range p.unexpectedExits {
			c.reportf("process: %s", exit)
		}
	}
	return c.violations
}

// checkResponses checks each response on its own.
func (c *checker) checkResponses() {
	for _, o := range c.outcomes {
		switch {
		case o.response.Violation != "":
			c.reportf("response: %s from entry %d: %s", o.request.ID, o.entry+1, o.response.Violation)
		case o.kind == kindProbe:
		case teamOf[o.request.Key] != "" && o.response.Denied():
			c.reportf("denied: %s was denied by entry %d with status %d", o.request.ID, o.entry+1, o.response.Status)
		case teamOf[o.request.Key] == "" && o.response.Status == 200:
			c.reportf("key: %s was served with an unknown key", o.request.ID)
		}
	}
}

// checkAuthorized checks that servers ran only unchanged requests with a valid key, at the service of their route.
func (c *checker) checkAuthorized() {
	for _, run := range c.runs {
		o, known := c.outcomeByID[run.ID]
		switch {
		case !known:
			continue // In flight when the run ended.
		case o.kind != kindProbe && teamOf[o.request.Key] == "":
			c.reportf("key: %s ran with an unknown key", run.ID)
		case o.kind != kindProbe && run.Tenant != teamOf[o.request.Key]:
			c.reportf("team: %s ran for the wrong team %q", run.ID, run.Tenant)
		case run.Path != o.request.Path:
			c.reportf("changed: %s ran with a different path %s", run.ID, run.Path)
		case o.kind.forModels() != (run.Service == modelService):
			c.reportf("route: %s ran at the wrong service %s", run.ID, run.Service)
		}
	}
}

// checkNotRepeated checks that unsafe requests ran at most once, and not at all if refused.
func (c *checker) checkNotRepeated() {
	times := make(map[string]int)
	for _, run := range c.runs {
		times[run.ID]++
	}
	for id, n := range times {
		o, known := c.outcomeByID[id]
		if !known || o.kind != kindUnsafe {
			continue
		}
		if n > 1 {
			c.reportf("twice: %s ran %d times", id, n)
		}
		if o.response.Refused() {
			c.reportf("refused: %s was refused with status %d but ran", id, o.response.Status)
		}
	}
}

// checkRevisions checks that no entry returns to an older configuration without a restart.
func (c *checker) checkRevisions() {
	type incarnation struct{ entry, number int }
	newest := make(map[incarnation]int64)
	probes := slices.DeleteFunc(slices.Clone(c.outcomes), func(o outcome) bool { return o.kind != kindProbe })
	slices.SortFunc(probes, func(a, b outcome) int { return a.sent.Compare(b.sent) })
	for _, o := range probes {
		key := incarnation{o.entry, o.incarnation}
		switch {
		case o.response.Status == 200:
			newest[key] = max(newest[key], o.revision)
		case o.response.Denied() && newest[key] >= o.revision && !c.superseded(o.revision, o.sent):
			c.reportf("configuration: entry %d reverted to a configuration older than revision %d", o.entry+1, o.revision)
		}
	}
}

// superseded reports whether a newer revision may already be in force at a time.
func (c *checker) superseded(revision int64, by time.Time) bool {
	return slices.ContainsFunc(c.rig.storeWrites, func(w storeWrite) bool {
		return w.revision > revision && w.sent.Before(by.Add(2*time.Second))
	})
}

// checkPlannedStops checks that stops and reloads interrupt no request that a server ran, unless another fault overlaps.
func (c *checker) checkPlannedStops() {
	ran := make(map[string]bool)
	for _, run := range c.runs {
		ran[run.ID] = true
	}
	for _, o := range c.outcomes {
		if o.response.Err == nil || o.abandoned || o.kind == kindProbe || !ran[o.request.ID] || o.ended.Sub(o.sent) > callerTimeout*7/10 {
			continue
		}
		operation, otherFault := "", false
		for _, s := range c.faultSpans {
			if s.from.Add(-settleTime).After(o.ended) || s.to.Add(bounds.Contact).Before(o.sent) {
				continue
			}
			if s.planned {
				operation = s.name
			} else {
				otherFault = true
			}
		}
		if operation != "" && !otherFault {
			c.reportf("cut: %s at entry %d was interrupted during %s: %v", o.request.ID, o.entry+1, operation, o.response.Err)
		}
	}
}

// checkRecovery checks the time bounds that hold after all faults have ended.
func (c *checker) checkRecovery() {
	served, sent := 0, 0
	for _, o := range c.outcomes {
		if o.kind == kindProbe {
			c.checkRecoveryProbe(o)
			continue
		}
		if o.abandoned || teamOf[o.request.Key] == "" || o.sent.Before(c.recovery.target.acked.Add(bounds.Version)) {
			continue
		}
		sent++
		if o.response.Complete() {
			served++
		}
	}
	if sent < minRequests || float64(served) < minRecoveredShare*float64(sent) {
		c.reportf("recovery: of %d requests after all faults had ended %d were served", sent, served)
	}
	deadline := c.recovery.target.acked.Add(bounds.Version)
	for _, run := range c.runs {
		if run.Version != 0 && run.Version < c.recovery.target.version && run.Began.After(deadline) {
			c.reportf("version: %s started on version %d at %s, %s after the deadline", run.ID, run.Version, run.Server, run.Began.Sub(deadline))
		}
		if run.Server == c.recovery.leavingID && run.Began.After(c.recovery.drainedAt.Add(bounds.Drain)) {
			c.reportf("leaving: %s started at %s %s after the server announced its leave", run.ID, run.Server, run.Began.Sub(c.recovery.drainedAt))
		}
	}
	for _, s := range c.rig.engines {
		if s.Loaded() != c.recovery.target.version {
			c.reportf("version: %s runs version %d at the end, want %d", s.Address, s.Loaded(), c.recovery.target.version)
		}
	}
}

// checkRecoveryProbe checks that the entry applied the new configuration in time.
func (c *checker) checkRecoveryProbe(o outcome) {
	if o.revision == c.recovery.config.revision && o.sent.After(c.recovery.config.acked.Add(bounds.Apply)) && o.response.Denied() {
		c.reportf("configuration: entry %d has not applied revision %d %s after the store acknowledged it",
			o.entry+1, o.revision, o.sent.Sub(c.recovery.config.acked))
	}
}
