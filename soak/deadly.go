package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/coralstair/coralstair/lab/standin"
)

const (
	// deadlyInterval is the mean time between sends of the same deadly request.
	deadlyInterval = 250 * time.Millisecond
	restartDelay   = 1500 * time.Millisecond
	// deadlyCrashLimit is how many servers a deadly request may crash before it must be quarantined,
	// lateArrivalLimit how often it may still reach a server once all entries must know.
	deadlyCrashLimit = 3
	lateArrivalLimit = 3
	// partCrashLimit is deadlyCrashLimit for a prompt part.
	partCrashLimit = 5
	// templatePart is the first part of all prompts; callers are in promptGroups groups, each with a part of its own.
	templatePart = "aa01"
	promptGroups = 4
	partPrefix   = "part-"
	// unframedInterval is how many streams a server sends with a length or chunks until one without.
	unframedInterval = 3
	// minBegunShare is the least fraction of the rate before, at which requests that share parts with known ones must begin.
	minBegunShare = 0.5
	// minOthersServedShare is the least fraction of other requests served once the deadly ones are quarantined.
	minOthersServedShare = 0.9
)

// crash is a server crash caused by a deadly request.
type crash struct {
	server string
	// request is the name of the deadly request, the same for each send.
	request string
	at      time.Time
}

type crashes struct {
	mu  sync.Mutex
	all []crash
}

func (c *crashes) add(crashed crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, crashed)
}

func (c *crashes) list() []crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]crash(nil), c.all...)
}

// crashOnDeadly makes deadly requests crash the server and restarts it after a delay.
// Entries connect to it without a proxy, so that its port refuses connections while it is down.
func (r *rig) crashOnDeadly(s *standin.Server) {
	s.Address = s.Listen
	s.OnCrash = func(request string) {
		r.crashes.add(crash{server: s.ID(), request: deadlyName(request), at: time.Now()})
		time.AfterFunc(restartDelay, func() { r.restart(s, false) })
	}
}

// deadlyID returns the ID of the n-th send of a deadly request.
func deadlyID(deadly string, n int) string { return fmt.Sprintf("%s/%d", deadly, n) }

// deadlyName returns the name of the deadly request with an ID, or "" for other requests.
func deadlyName(id string) string {
	name, _, ok := strings.Cut(id, "/")
	if !ok {
		return ""
	}
	return name
}

// groupPart returns the second part of a caller's prompts, ownPart the last of a request's.
func groupPart(caller int) string { return fmt.Sprintf("bb%02x", caller%promptGroups) }

func ownPart(id string) string { return fmt.Sprintf("cc%x", id) }

// deadlyPlan sends deadly requests to random entries and kills all entries halfway.
func (r *rig) deadlyPlan(out *outcomes) []fault {
	var plan []fault
	for k := range r.opts.Deadly {
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		plan = append(plan, fault{
			name: fmt.Sprintf("deadly request %d", k+1), duration: r.opts.FaultPeriod,
			do:   func() { wg.Go(func() { r.sendDeadly(ctx, k, out) }) },
			undo: func() { cancel(); wg.Wait() },
		})
	}
	for k := range r.opts.DeadlyParts {
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		plan = append(plan, fault{
			name: fmt.Sprintf("deadly part %d", k+1), duration: r.opts.FaultPeriod,
			do:   func() { wg.Go(func() { r.sendDeadlyPart(ctx, k, out) }) },
			undo: func() { cancel(); wg.Wait() },
		})
	}
	for _, p := range r.entries {
		plan = append(plan, fault{
			name: "kill " + p.name, at: r.opts.FaultPeriod / 2, duration: settleTime, do: p.kill, undo: func() { _ = p.start() },
		})
	}
	return plan
}

// sendDeadly sends a deadly request repeatedly until ctx ends.
func (r *rig) sendDeadly(ctx context.Context, k int, out *outcomes) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(k)+1000))
	name := fmt.Sprintf("deadly-%d", k+1)
	for n := 0; sleep(ctx, time.Duration(float64(deadlyInterval)*(0.5+rng.Float64()))); n++ {
		entry := rng.IntN(len(r.entries))
		o := outcome{kind: kindStream, entry: entry, incarnation: r.entries[entry].currentIncarnation()}
		o.request = standin.Request{
			ID: deadlyID(name, n), Host: host, Path: streamPath + name, Key: goodKey, Timeout: r.workload().timeout,
			Model: model, PromptTokens: 100, AnswerTokens: 50, Body: standin.CrashBody + " " + name,
		}
		reqCtx, cancel := context.WithTimeout(ctx, r.workload().timeout)
		o.sent = time.Now()
		o.response = o.request.Send(reqCtx, newCallerClient(), r.entryAddr(entry))
		o.ended, o.abandoned = time.Now(), ctx.Err() != nil
		cancel()
		out.add(o)
	}
}

// sendDeadlyPart sends prompts with a deadly part until ctx ends, no two alike; some are repeated under another ID, as callers do.
func (r *rig) sendDeadlyPart(ctx context.Context, k int, out *outcomes) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(k)+2000))
	name := fmt.Sprintf("%s%d", partPrefix, k+1)
	part := fmt.Sprintf("%s%02x", standin.CrashPart, k)
	body := 0
	for n := 0; sleep(ctx, time.Duration(float64(deadlyInterval)*(0.5+rng.Float64()))); n++ {
		if rng.IntN(3) > 0 {
			body++
		}
		entry, caller := rng.IntN(len(r.entries)), rng.IntN(promptGroups)
		o := outcome{kind: kindStream, entry: entry, incarnation: r.entries[entry].currentIncarnation()}
		id := deadlyID(name, n)
		o.request = standin.Request{
			ID: id, Host: host, Path: fmt.Sprintf("%s%s/%d", streamPath, name, body), Key: goodKey, Timeout: r.workload().timeout,
			Model: model, PromptTokens: 100, AnswerTokens: 50, Body: fmt.Sprint(name, " ", body),
			Parts: []string{templatePart, groupPart(caller), part, ownPart(id)},
		}
		if k%2 > 0 {
			o.request.Parts = []string{part, groupPart(caller), ownPart(id)}
		}
		reqCtx, cancel := context.WithTimeout(ctx, r.workload().timeout)
		o.sent = time.Now()
		o.response = o.request.Send(reqCtx, newCallerClient(), r.entryAddr(entry))
		o.ended, o.abandoned = time.Now(), ctx.Err() != nil
		cancel()
		out.add(o)
	}
}

// crashLimit returns how many servers a deadly request or prompt part may crash before it must be quarantined.
func crashLimit(name string) int {
	if strings.HasPrefix(name, partPrefix) {
		return partCrashLimit
	}
	return deadlyCrashLimit
}

// checkDeadly checks that a quarantined deadly request hardly reaches servers any more and that others are served.
func (c *checker) checkDeadly() {
	crashed, knownAt := make(map[string]int), make(map[string]time.Time)
	for _, d := range c.crashes {
		if crashed[d.request]++; crashed[d.request] == crashLimit(d.request) {
			knownAt[d.request] = d.at.Add(bounds.Contact)
		}
	}
	late := make(map[string]int)
	for _, a := range c.arrivals {
		name := deadlyName(a.ID)
		if at, ok := knownAt[name]; ok && a.At.After(at) && !c.entryRestarting(a.At) {
			late[name]++
		}
	}
	for name, n := range late {
		if n > lateArrivalLimit {
			c.reportf("deadly: %s reached servers %d times after it had crashed %d of them; it crashed %d in total", name, n, crashLimit(name), crashed[name])
		}
	}
	c.checkOthersServed(knownAt)
	if c.rig.opts.DeadlyParts > 0 {
		c.checkBeginnings(knownAt)
	}
}

// checkBeginnings checks that, once a deadly part must be known, prompts that share other parts with it begin at their first attempt about as
// often as before. A part that must be known only at the end of the run leaves too few to tell.
func (c *checker) checkBeginnings(knownAt map[string]time.Time) {
	var faultsFrom time.Time
	for _, s := range c.faultSpans {
		if faultsFrom.IsZero() || s.from.Before(faultsFrom) {
			faultsFrom = s.from
		}
	}
	begun := make(map[string]bool)
	for _, run := range c.runs {
		begun[run.ID] = true
	}
	count := func(sent func(time.Time) bool) (all, began int) {
		for _, o := range c.outcomes {
			if o.kind != kindStream || o.abandoned || o.request.Key != goodKey || deadlyName(o.request.ID) != "" || c.entryRestarting(o.sent) || !sent(o.sent) {
				continue
			}
			all++
			if begun[o.request.ID] {
				began++
			}
		}
		return all, began
	}
	sentBefore, begunBefore := count(faultsFrom.After)
	for name, at := range knownAt {
		sent, began := count(at.Add(bounds.Contact).Before)
		if min(sentBefore, sent) >= minRequests && float64(began*sentBefore) < minBegunShare*float64(begunBefore*sent) {
			c.reportf("deadly: %d of %d sound prompts began once %s was known, %d of %d before", began, sent, name, begunBefore, sentBefore)
		}
	}
}

// entryRestarting reports whether an entry was down, or so recently started that it may lack the quarantine records.
func (c *checker) entryRestarting(at time.Time) bool {
	for _, s := range c.faultSpans {
		if strings.HasPrefix(s.name, "kill ") && at.After(s.from) && at.Before(s.to.Add(bounds.Contact)) {
			return true
		}
	}
	return false
}

// checkOthersServed checks that other requests are served in the last third of the fault period.
func (c *checker) checkOthersServed(knownAt map[string]time.Time) {
	if len(knownAt) == 0 {
		return
	}
	var to time.Time
	for _, s := range c.faultSpans {
		if s.to.After(to) {
			to = s.to
		}
	}
	from := to.Add(-c.rig.opts.FaultPeriod / 3)
	sent, served := 0, 0
	for _, o := range c.outcomes {
		if o.kind == kindProbe || o.abandoned || o.request.Key != goodKey || deadlyName(o.request.ID) != "" || o.sent.Before(from) || o.ended.After(to) {
			continue
		}
		sent++
		if o.response.Complete() {
			served++
		}
	}
	if sent < minRequests || float64(served) < minOthersServedShare*float64(sent) {
		c.reportf("deadly: of %d other requests in the last third %d were served", sent, served)
	}
}
