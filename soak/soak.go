package soak

import (
	"cmp"
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// Options configure one run; a zero field takes its default.
type Options struct {
	Seed uint64
	// Daemon is the path of the executable, Dir the folder for settings and logs.
	Daemon string
	Dir    string
	// Entries, Boxes and Plain are counts; each box has one model server.
	Entries int
	Boxes   int
	Plain   int
	Callers int
	// FaultPeriod is the period in which faults or planned operations start.
	FaultPeriod time.Duration
	// Restarts adds servers that restart under the same ID and malformed list entries, at twice the usual rate.
	Restarts bool
	// StoreRestores adds restores of the store from a backup, at a higher rate than other faults.
	StoreRestores bool
	// Sites adds evacuations, servers that are cold, requests that have homes and callers that read slowly, at a higher rate than other
	// faults.
	Sites bool
	// Versions names versions in quick succession while servers are empty or slow towards their boxes.
	Versions bool
	// VersionBounds names versions while daemons restart, alone or together, stand still or cannot reach the store.
	VersionBounds bool
	// Ranks makes a team flood the less urgent of two routes to the model servers while an entry is killed and a box is cut off.
	Ranks bool
	// Crowds lets clients that do not keep to the limits come to all listeners.
	Crowds bool
	// InvalidHeads makes servers send responses with invalid heads now and then.
	InvalidHeads bool
	// Deadly is the number of distinct requests that crash each server that runs them.
	Deadly int
	// DeadlyParts is the number of prompt parts that crash each server that begins to respond to a prompt with one; all prompts have parts.
	DeadlyParts int
	// FailingServers makes all model servers fail their requests while all entries are killed again and again.
	FailingServers bool
	// Unreachable is the number of additional list entries of servers that do not run.
	Unreachable int
	// pushback is the kind of signal that servers send, while entries are killed and stopped.
	pushback pushback
	// planned returns operations during which no request may be lost; nil runs the fault plan.
	planned func(r *rig) []fault
}

// Defaults of Options.
const (
	DefaultEntries     = 3
	DefaultBoxes       = 6
	DefaultPlain       = 3
	DefaultCallers     = 16
	DefaultFaultPeriod = 6 * time.Second

	startupTime = 4 * time.Second
)

func (o Options) withDefaults() Options {
	o.Entries = cmp.Or(o.Entries, DefaultEntries)
	o.Boxes = cmp.Or(o.Boxes, DefaultBoxes)
	o.Plain = cmp.Or(o.Plain, DefaultPlain)
	o.Callers = cmp.Or(o.Callers, DefaultCallers)
	o.FaultPeriod = cmp.Or(o.FaultPeriod, DefaultFaultPeriod)
	return o
}

// Result summarises a run.
type Result struct {
	Seed        uint64
	Requests    int
	Served      int
	Refused     int
	Interrupted int
	Faults      []string
	Violations  []string
	// LimitUse is the fraction of the rate limits that entries used.
	LimitUse float64
	// BudgetUse is the largest fraction of the retry budget that was used in any window.
	BudgetUse float64
	// RankShares says how many requests of each rank were served during a flood.
	RankShares string
	// Lost are the IDs of requests without a complete response or a refusal with Retry-After, in a planned run.
	Lost []string
}

// String returns the counts in one line.
func (r *Result) String() string {
	return fmt.Sprintf("seed %d: %d requests, %d served, %d refused, %d cut, %d faults, %d broken",
		r.Seed, r.Requests, r.Served, r.Refused, r.Interrupted, len(r.Faults), len(r.Violations))
}

// Run runs the system through the fault plan of a seed and checks the invariants.
func Run(ctx context.Context, opts Options) (*Result, error) {
	opts = opts.withDefaults()
	var err error
	if opts.Daemon, err = filepath.Abs(opts.Daemon); err != nil {
		return nil, err
	}
	r, err := newRig(opts)
	if err != nil {
		return nil, err
	}
	defer r.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var out outcomes
	wait := r.startCallers(ctx, &out)
	if !sleep(ctx, startupTime) {
		return nil, ctx.Err()
	}
	var faults faultLog
	var recovery recoveryPhase
	switch {
	case opts.planned != nil:
		faults.run(opts.planned(r))
		sleep(ctx, startupTime)
	case opts.Deadly+opts.DeadlyParts > 0:
		faults.run(r.deadlyPlan(&out))
	case opts.pushback != noPushback:
		faults.run(r.pushbackPlan())
	case opts.FailingServers:
		faults.run(r.failingPlan())
	case opts.Ranks:
		faults.run(r.floodPlan(ctx, &out))
	case opts.VersionBounds:
		faults.run(r.versionBoundPlan())
		recovery = r.runRecovery(ctx, &faults)
	case opts.Versions:
		faults.run(r.versionPlan())
		recovery = r.runRecovery(ctx, &faults)
	default:
		faults.run(r.planFaults())
		recovery = r.runRecovery(ctx, &faults)
	}
	cancel()
	wait()
	c := &checker{
		rig: r, outcomes: out.list(), runs: r.runs.Runs(), arrivals: r.runs.Arrivals(), faultSpans: faults.list(), recovery: recovery, crashes: r.crashes.list(),
		pushbacks: r.runs.Pushbacks(),
	}
	return c.buildResult(opts.Seed), nil
}

// startCallers starts the callers, probes, balancer and crowds; wait blocks until they have ended.
func (r *rig) startCallers(ctx context.Context, out *outcomes) (wait func()) {
	var wg sync.WaitGroup
	b := newBalancer(r)
	wg.Go(func() { b.run(ctx) })
	for n := range r.opts.Callers {
		c := newCaller(r, n, b, out)
		wg.Go(func() { c.run(ctx) })
	}
	for entry := range r.entries {
		wg.Go(func() { probe(ctx, r, entry, out) })
	}
	if r.opts.Crowds {
		r.startCrowds(ctx, &wg)
	}
	return wg.Wait
}

// runRecovery ends all faults, stops and restarts one entry once all daemons are connected,
// then changes the configuration and the version and drains a server.
func (r *rig) runRecovery(ctx context.Context, faults *faultLog) recoveryPhase {
	for _, hops := range [][]*hop{r.storeHops, r.serverHops, r.boxHops, {r.originHop}} {
		for _, h := range hops {
			h.heal()
		}
	}
	for _, p := range r.daemons() {
		_ = p.start()
	}
	for _, s := range r.servers() {
		s.SetInvalidHeads(0)
	}
	r.heartbeatAll()
	sleep(ctx, bounds.Contact+2*settleTime)
	faults.run([]fault{r.plannedStop()})
	sleep(ctx, bounds.Contact)
	phase := recoveryPhase{from: time.Now()}
	phase.config = r.writeConfig()
	phase.target = r.writeTarget()
	leaving := r.plain[0]
	leaving.Drain()
	phase.leavingID, phase.drainedAt = leaving.ID(), time.Now()
	sleep(ctx, bounds.Version+3*time.Second)
	if r.opts.Sites {
		r.evacuateInCalm(ctx)
	}
	phase.to = time.Now()
	return phase
}

// plannedStop stops one entry and starts it again.
func (r *rig) plannedStop() fault {
	p := r.entries[int(r.opts.Seed)%len(r.entries)]
	return fault{
		name: "stop " + p.name, planned: true, duration: settleTime,
		do: func() { p.stop(bounds.Grace) }, undo: func() { _ = p.start() },
	}
}

// buildResult counts the outcomes and checks the invariants.
func (c *checker) buildResult(seed uint64) *Result {
	result := &Result{Seed: seed}
	for _, o := range c.outcomes {
		if o.kind == kindProbe || o.abandoned {
			continue
		}
		result.Requests++
		switch {
		case o.response.Complete():
			result.Served++
		case o.response.Err != nil:
			result.Interrupted++
		case o.response.Refused():
			result.Refused++
		}
	}
	slices.SortFunc(c.faultSpans, func(a, b faultSpan) int { return a.from.Compare(b.from) })
	for _, s := range c.faultSpans {
		result.Faults = append(result.Faults, fmt.Sprintf("%s  %s for %s",
			s.from.Format("15:04:05.000"), s.name, s.to.Sub(s.from).Round(time.Millisecond)))
	}
	result.Violations = c.check()
	result.Lost, result.LimitUse, result.BudgetUse, result.RankShares = c.lost, c.limitUse, c.budgetUse, c.rankShares
	return result
}
