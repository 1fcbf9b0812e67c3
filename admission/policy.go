package admission

import (
	"maps"
	"sync"
	"time"
)

const (
	// firstTryShare is the largest queueing delay of a first try, as a fraction of the service's tightest latency goal.
	// At 0.7 servers stood free; 0.8 raised mean worth by 0.036 in shortages that last and by 0.007 elsewhere.
	firstTryShare = 0.8
	// retryShare is the same fraction for a retry at full pressure. It is lower because a retry has already missed its goal
	// and would take the place of a request that can still meet it.
	// It raised mean worth from 0.389 to 0.474 in shortages that last.
	retryShare = 0.3
	// saturatedPressure is the pressure from which retries are limited to retryShare. Below it the limit rises linearly to
	// firstTryShare, so that retries succeed soon after a short overload.
	// Always limiting retries that far costs 0.01 of worth there.
	saturatedPressure = 0.1
	// pressureSmoothing is the weight of the latest first try in the moving average.
	pressureSmoothing = 0.05
	// routeTTL is how long a route without requests still limits the others.
	routeTTL = 30 * time.Second
)

// Request describes a request that seeks admission.
type Request struct {
	// Route is the request's route, Goal its latency goal.
	Route string
	Goal  time.Duration
	// Rank is the request's rank among those for the service, 0 the most urgent; 0 where ranks don't differ.
	Rank int
	// NoWait is what counts as queueing delay at a server with one free slot and no prompt to read. Ranks don't shorten that.
	NoWait time.Duration
	// SlotWait is the mean time until one of a full server's slots is free, ServiceGoal the tightest goal of all routes to the service, on
	// which this entry may see no request; both are 0 where ranks don't differ.
	SlotWait    time.Duration
	ServiceGoal time.Duration
}

// Policy admits the requests of one service. The zero value is ready to use and safe for concurrent use.
type Policy struct {
	mu     sync.Mutex
	routes map[routeKey]routeState
	// pressure is, by rank, a moving average of the fraction of first tries refused, of those as urgent or more: the less urgent take no room
	// from the others.
	pressure [rankCount]float64
	ranks    ranks
	demand   slotDemand
}

// routeKey is a route with the rank of requests on it.
type routeKey struct {
	route string
	rank  int
}

type routeState struct {
	goal     time.Duration
	lastSeen time.Time
}

// Record records a request's route, whose goal then limits the wait of all requests that are as urgent or less. Later decisions are as of
// the latest now.
func (p *Policy) Record(req Request, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ranks.advance(now)
	maps.DeleteFunc(p.routes, func(_ routeKey, state routeState) bool { return now.Sub(state.lastSeen) > routeTTL })
	if p.routes == nil {
		p.routes = make(map[routeKey]routeState)
	}
	p.routes[routeKey{req.Route, index(req.Rank)}] = routeState{goal: req.Goal, lastSeen: now}
}

// Admit reports whether to admit a request that would wait queueDelay; sinceFirst is the time since its first try, 0 for
// a first try.
func (p *Policy) Admit(req Request, sinceFirst, queueDelay time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sinceFirst > 0 {
		admitted := queueDelay <= p.maxDelay(req, p.retryShare(req.Rank))
		p.ranks.count(req.Rank, false, admitted)
		return admitted
	}
	admitted := queueDelay <= p.maxDelay(req, firstTryShare)
	p.ranks.count(req.Rank, true, admitted)
	refused := 1.0
	if admitted {
		refused = 0
	}
	for rank := index(req.Rank); rank < rankCount; rank++ {
		p.pressure[rank] += pressureSmoothing * (refused - p.pressure[rank])
	}
	return admitted
}

// Standing returns how a request stands among those that wait at a server, judged by the ranks of recently admitted requests and of this
// entry's waiting ones. Without either it overtakes none and none overtakes it.
func (p *Policy) Standing(req Request) Standing {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ranks.standing(req.Rank)
}

// ObserveWaiting records how many requests of this entry wait at full servers.
func (p *Policy) ObserveWaiting(waiting Waiting) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ranks.observe(waiting)
}

// ObserveDemand records the demand for the service's slots.
func (p *Policy) ObserveDemand(demand Demand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand.observe(demand, p.ranks.at)
}

// Contended reports whether requests wait for the service's slots and hardly any is free.
func (p *Policy) Contended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.demand.contended()
}

// Pressure returns the recent fraction of first tries that were refused, 0 to 1.
func (p *Policy) Pressure() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pressure[rankCount-1]
}

// retryShare returns the fraction of the tightest goal that a retry of a rank may wait at the current pressure; mu is held.
func (p *Policy) retryShare(rank int) float64 {
	return firstTryShare - (firstTryShare-retryShare)*min(1, p.pressure[index(rank)]/saturatedPressure)
}

// maxDelay returns the longest queueing delay at which a request is admitted: a share of the tightest goal of all active routes as urgent
// or more, so that a route with a tighter goal is not refused more often than the others. Goals of less urgent routes don't count, as
// their requests are overtaken. The delay falls towards NoWait while more urgent requests are refused, or may be at other entries; it is
// negative while all free slots are kept for these. mu is held.
func (p *Policy) maxDelay(req Request, share float64) time.Duration {
	tightest, served := req.Goal, p.ranks.served(req.Rank)
	for key, state := range p.routes {
		if state.goal > 0 && key.rank <= served {
			tightest = min(tightest, state.goal)
		}
	}
	longest := time.Duration(share * float64(tightest))
	fraction := p.ranks.leave(served)
	if served > 0 && req.keepsSlots() {
		limit, refused := p.demand.limit(p.ranks.mostRefused(req.Rank), p.ranks.at)
		if refused {
			return -1
		}
		fraction = min(fraction, limit)
	}
	return min(longest, req.NoWait+time.Duration(fraction*float64(longest-req.NoWait)))
}
