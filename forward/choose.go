package forward

import (
	"math/rand/v2"
	"time"

	"github.com/coralstair/coralstair/admission"
	"github.com/coralstair/coralstair/balance"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/engine"
)

const (
	// crossSiteCost and crossRegionCost are the price of sending a request to another site or region, as latency.
	crossSiteCost   = 12 * time.Millisecond
	crossRegionCost = 40 * time.Millisecond
	// costJitter keeps entries from all choosing the same server.
	costJitter = 10 * time.Millisecond
	// misdirectedBackoff is how long a server that responded 421 is skipped; the list entry of an exited server expires
	// in about that time.
	misdirectedBackoff = 4 * time.Second
	// plainRequestCost is the predicted latency of a request at a service without an engine.
	plainRequestCost = 60 * time.Millisecond
	// A server gets no more requests from dispatchMargin plus dispatchWaitFactor times the predicted wait before the
	// deadline of its version.
	dispatchMargin = 800 * time.Millisecond
	// unfilledDispatchMargin applies while the server's box still downloads pieces over a link not known to be fast:
	// the download can delay requests.
	unfilledDispatchMargin = 2600 * time.Millisecond
	dispatchWaitFactor     = 2
	// unlistedPenalty is added to the cost of a server that is no longer listed.
	unlistedPenalty = 10 * time.Second
)

// requirements are what a server must satisfy to take a request.
type requirements struct {
	service      *contract.Service
	model        string
	promptTokens int
	answerTokens int
	// version is the only version that may answer; 0 for any.
	version contract.Version
	// urgent requests are admitted before waiting ones; movable ones may continue at another server later.
	urgent  bool
	movable bool
	// minOpen is the minimum time until the server closes to load another version.
	minOpen time.Duration
	// standing is how the request stands among those that wait at a server; policy is told how many wait, nil where ranks don't differ.
	standing admission.Standing
	policy   *admission.Policy
	excluded map[string]bool
	// homes are the regions that may serve the request.
	homes contract.Homes
	// entries is the number of entries that share a server's limit.
	entries int
}

// choice is a server with its predictions.
type choice struct {
	upstream *upstream
	server   contract.Server
	pool     connPool
	version  contract.Version
	// older says that a newer version was named when the request was sent; versionLeft is how long requests could begin on this one then.
	older       bool
	versionLeft time.Duration
	// entries is the number of entries that share the server's limit.
	entries int
	// first is the predicted time to the first event, or to a plain response; cost adds penalties such as that of
	// another site.
	first time.Duration
	cost  time.Duration
	load  engine.Load
	// rank is the rank at which the server lets the request in, ahead the part of load that goes before it. overtakes is the fraction of
	// other entries' requests not yet reported that it overtakes there, 0 unless the server is full.
	rank      int
	ahead     engine.Load
	overtakes float64
	// closesIn is the time until the server closes to new requests, overrun the time the request is predicted to run
	// beyond that.
	closesIn time.Duration
	overrun  time.Duration
	// candidates is the number of servers that could be chosen.
	candidates int
	// reportAge is the age of the latest report of the server's box; 0 without one.
	reportAge time.Duration
}

// choose returns the server with the lowest cost. Servers outside the entry's subset are tried only when none inside
// can take the request; ok is false when none can at all.
func (e *Entry) choose(want requirements, now time.Time) (best choice, ok bool) {
	want.entries = e.limitSharers()
	if best, ok = e.chooseAmong(e.upstreams.preferred(want.service.Name), want, now); ok {
		return best, true
	}
	return e.chooseAmong(e.upstreams.fallback(want.service.Name), want, now)
}

// chooseAmong chooses among ups. Ejected servers are included only when they outnumber the healthy ones.
func (e *Entry) chooseAmong(ups []*upstream, want requirements, now time.Time) (best choice, ok bool) {
	usable, ejected := make([]choice, 0, len(ups)), []choice(nil)
	var counts requestCounts
	for _, up := range ups {
		c, until, why := e.evaluate(up, want, now)
		counts.add(up, want.service.Engine, now)
		switch {
		case why != accepted:
		case now.Before(until):
			ejected = append(ejected, c)
		default:
			usable = append(usable, c)
		}
	}
	if len(ejected) > len(usable) {
		usable = append(usable, ejected...)
	}
	if want.policy != nil {
		want.policy.ObserveWaiting(counts.waiting)
		want.policy.ObserveDemand(counts.demand(usable, want.service.Engine))
	}
	if len(usable) == 0 {
		return choice{}, false
	}
	priceOverrun(usable, want.movable)
	if want.service.Engine == nil || want.service.Engine.ReadRate <= 0 {
		return usable[balance.Cheapest(costs(usable))], true
	}
	best = pick(usable, counts.estimateInFlight(want.service.Engine), waitPerRequest(want.service.Engine))
	best.candidates = len(usable)
	return best, true
}

// evaluate predicts the cost of a request at a server, or returns why the server can't take it; until is the end of its
// ejection.
func (e *Entry) evaluate(up *upstream, want requirements, now time.Time) (c choice, until time.Time, why rejection) {
	up.mu.Lock()
	defer up.mu.Unlock()
	server := up.server
	siteCost, may := e.mayServe(want.homes, server.Site)
	switch {
	case !may:
		return choice{}, time.Time{}, rejectedSite
	case up.isLeaving():
		return choice{}, time.Time{}, rejectedLeaving
	case up.missing && now.After(up.unusableAt):
		return choice{}, time.Time{}, rejectedGone
	case want.excluded[server.ID]:
		return choice{}, time.Time{}, rejectedTried
	case now.Sub(up.misdirectedAt) < misdirectedBackoff:
		return choice{}, time.Time{}, rejectedMisdirected
	case up.availableIn(want.entries, now) > 0:
		return choice{}, time.Time{}, rejectedLimited
	}
	c = choice{upstream: up, server: server, pool: up.pool, entries: want.entries}
	if !up.reportAt.IsZero() {
		c.reportAge = now.Sub(up.reportAt)
	}
	if want.service.Engine == nil {
		c.first = plainRequestCost*time.Duration(1+up.inFlight/max(server.Slots, 1)) + time.Duration(up.inFlight)*time.Millisecond
	} else if why := e.predict(&c, want, now); why != accepted {
		return choice{}, time.Time{}, why
	}
	c.cost += c.first + up.reportDelay(now) + e.siteCost(server.Site) + siteCost + rand.N(costJitter)
	if up.missing {
		c.cost += unlistedPenalty
	}
	return c, up.ejectedUntil, accepted
}

// predict fills in the choice of a server with an engine, or returns why the server can't take the request; up.mu is
// held.
func (e *Entry) predict(c *choice, want requirements, now time.Time) rejection {
	up := c.upstream
	c.version = up.version(want.model, now)
	switch {
	case c.version == 0:
		return rejectedNotLoaded
	case want.version != 0 && c.version != want.version:
		return rejectedVersion
	case up.closing(now):
		return rejectedClosing
	}
	e.predictAhead(c, want, now)
	late := up.lagOf(c.rank, now) + overdueFactor*up.oldestOverdue(c.rank, c.load.IsFull(want.service.Engine), now) + up.rtt.delay(now)
	c.first = engine.TimeToFirstEvent(want.service.Engine, c.ahead, want.promptTokens) + late
	c.closesIn = up.closesIn(now)
	if e.missesVersionDeadline(up, want.model, *c, now) {
		return rejectedOutdated
	}
	if c.closesIn < want.minOpen {
		return rejectedClosing
	}
	if want.urgent {
		c.load.Prefilling, c.load.PrefillTokens = 0, 0
		c.ahead = c.load
		c.first = engine.TimeToFirstEvent(want.service.Engine, c.ahead, want.promptTokens) + late
	}
	c.overrun = max(c.first+engine.DecodeTime(want.service.Engine, c.load, want.answerTokens)-c.closesIn, 0)
	return accepted
}

// predictAhead fills in the server's load, what of it goes before the request, and the request's rank there; the upstream's mu is held.
func (e *Entry) predictAhead(c *choice, want requirements, now time.Time) {
	c.load = c.upstream.load(want.service.Engine, now)
	standing := want.standing
	if want.urgent {
		standing.Rank = 0
	}
	c.rank, c.ahead = standing.Rank, c.upstream.ahead(c.load, standing, want.service.Engine)
	if c.load.IsFull(want.service.Engine) {
		c.overtakes = standing.Overtakes
	}
}

// missesVersionDeadline reports whether a request might start at a server after the deadline of its version, with a
// margin for network delays.
func (e *Entry) missesVersionDeadline(up *upstream, model string, c choice, now time.Time) bool {
	due, older := e.cfg.View.VersionDeadline(model, c.version)
	if !older {
		return false
	}
	margin := dispatchMargin
	if !up.filled(now) && !up.rtt.isLow(now) {
		margin = unfilledDispatchMargin
	}
	return now.Add(margin + dispatchWaitFactor*c.first + up.reportDelay(now)).After(due)
}

// siteCost returns the added cost of a request to a site.
func (e *Entry) siteCost(site string) time.Duration {
	switch here := e.cfg.Machine.Site; {
	case site == here:
		return 0
	case e.cfg.Machine.Region(site) == e.cfg.Machine.Region(here):
		return crossSiteCost
	default:
		return crossRegionCost
	}
}
