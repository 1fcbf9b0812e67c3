package forward

import (
	"time"

	"github.com/coralstair/coralstair/clock"
)

const (
	// moveDelay is how long after a server closes its remaining requests are moved. The server can load only once
	// they have ended; moving them earlier makes other servers prefill more prompts again.
	moveDelay = 400 * time.Millisecond
	// moveRetryInterval is the pause before requests that found no server are moved again.
	moveRetryInterval = 100 * time.Millisecond
	// movePauseFraction is the part of the pause goal that a move may take.
	movePauseFraction = 0.85
	// With at most 1/nearlyDrainedDivisor of its slots in use a closed server wastes more than a slow move costs: a
	// move may then take drainedPauseFactor times the pause goal.
	nearlyDrainedDivisor = 4
	drainedPauseFactor   = 4
	// moveOverhead is the cost of a request that will have to move: its prompt is prefilled twice.
	moveOverhead = 80 * time.Millisecond
	// minTurnGap is how much later than the first server another must close to take over its requests; most end
	// within that time.
	minTurnGap = 1500 * time.Millisecond
	// At least 1/takeoverDivisor of a service's servers must run a version for requests to move among them: the last
	// few could not serve all of them before the deadline of the version.
	takeoverDivisor = 4
	// minTurnLead is the minimum time until a server closes for a running stream to move there.
	minTurnLead = 500 * time.Millisecond
	// unknownTurn stands for a closing time that is not known.
	unknownTurn = time.Hour
)

// priceOverrun adds to the costs the time by which the request would outlast each server's closing. If it can then
// move to servers of the same version, that counts as one more prefill at most.
func priceOverrun(choices []choice, movable bool) {
	for i := range choices {
		c := &choices[i]
		if c.overrun > moveOverhead && movable && canMove(*c, choices) {
			c.overrun = moveOverhead
		}
		c.cost += c.overrun
	}
}

// canMove reports whether enough servers of c's version close sufficiently later to take over its requests.
func canMove(c choice, choices []choice) bool {
	later := 0
	for _, other := range choices {
		if other.version == c.version && other.closesIn >= c.closesIn+minTurnGap {
			later++
		}
	}
	return later*takeoverDivisor >= len(choices)
}

// moveRequests moves requests off a closing server, and retries until none is left.
func (u *upstream) moveRequests() {
	u.mu.Lock()
	var moves []func()
	if u.closing(clock.Now()) {
		for r := range u.inFlightRequests {
			if r.moveAway != nil {
				moves = append(moves, r.moveAway)
			}
		}
	}
	if len(moves) > 0 {
		time.AfterFunc(moveRetryInterval, u.moveRequests)
	}
	u.mu.Unlock()
	for _, move := range moves {
		move()
	}
}

// nearlyDrained reports whether few requests keep the server from loading.
func (u *upstream) nearlyDrained() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.report.Running*nearlyDrainedDivisor <= u.server.Slots
}

// onClosing sets the function that moves the request when its server closes.
func (r *inFlightRequest) onClosing(move func()) {
	r.up.mu.Lock()
	defer r.up.mu.Unlock()
	r.moveAway = move
}

// move hedges the request because its server is closing: from the start, or for a stream from the next event on the
// same version.
func (a *attempt) move() {
	a.call.hedge(a, &ClosingError{Server: a.choice.server.ID})
}

// tooFewServers reports whether the given number of servers is too small to take over the requests of the service's
// others.
func (c *call) tooFewServers(servers int) bool {
	return servers*takeoverDivisor < len(c.entry.preferredFor(c.service.Name, c.homes))
}

// moveTimeLimit returns how long the first event may take at the new server; the call's mutex is held.
func (a *attempt) moveTimeLimit() time.Duration {
	c := a.call
	switch {
	case c.stream == nil:
		return c.route.Goal
	case a.choice.upstream.nearlyDrained():
		return drainedPauseFactor * c.route.PauseGoal
	default:
		return time.Duration(movePauseFraction * float64(c.route.PauseGoal))
	}
}
