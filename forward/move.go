package forward

import (
	"time"

	"github.com/coralstair/coralstair/clock"
)

const (
	// moveAfter is how long after a server closes to load another version what still runs there is moved: the server loads once
	// the last has ended, and until then does little. Moved at once, more prompts are read twice; each takes the time of about
	// four hundredths of a server's second. With moves that are repeated and go first at the server (below), most servers are out
	// for 0.7 to 0.9 s where it was 1.2 to 2.2 s, and mean worth rose by 0.002 (15 days; standard error 0.002) with 12 to 20
	// servers, by 0.008 with 45 to 76 (4 days).
	moveAfter = 400 * time.Millisecond
	// moveAgain is how long after requests that found no place in time it is tried again.
	moveAgain = 100 * time.Millisecond
	// moveShare is the part of the pause that is in time which a move may take.
	moveShare = 0.85
	// fewLeft is the part of a server's slots, one in so many, up to which what is left there keeps more others waiting than it
	// is worth: it then goes on elsewhere also when that takes longer, lateMove times the pause in time at most.
	fewLeft  = 4
	lateMove = 4
	// moveCost is what a request counts as more that will have to go on at another server: its prompt is read twice.
	moveCost = 80 * time.Millisecond
	// movedTime is how much later a server's turn has to come for requests of another one to go on there: most end in that time.
	movedTime = 1500 * time.Millisecond
	// enoughServers is the part of a service's servers, one in so many, that has to run a version for requests to go on there:
	// the last few got all that others handed on, and held some of it until after the bound on their version.
	enoughServers = 4
	// turnMargin is how much later the turn of a server has to come for a request to go on there: what meets its turn waits.
	turnMargin = 500 * time.Millisecond
	// unknownTurn stands for a turn that is not known.
	unknownTurn = time.Hour
)

// priceOverrun adds to the costs of offers what the request counts as where it would outlast the server's turn to load. If it
// can go on at servers of the same version whose turn comes later, that is one more reading of its prompt; else it keeps the
// server from loading.
func priceOverrun(offers []choice, moves bool) {
	for i := range offers {
		c := &offers[i]
		if c.over > moveCost && moves && goesOn(*c, offers) {
			c.over = moveCost
		}
		c.cost += c.over
	}
}

// goesOn reports whether requests at a server can go on at others of its version when its turn to load comes.
func goesOn(c choice, offers []choice) bool {
	later := 0
	for _, other := range offers {
		if other.version == c.version && other.closes >= c.closes+movedTime {
			later++
		}
	}
	return later*enoughServers >= len(offers)
}

// moveOn has requests go on elsewhere that hold a server up which is closing, again and again until none is left.
func (u *upstream) moveOn() {
	u.mu.Lock()
	var moves []func()
	if u.closing(clock.Now()) {
		for t := range u.tickets {
			if t.move != nil {
				moves = append(moves, t.move)
			}
		}
	}
	if len(moves) > 0 {
		time.AfterFunc(moveAgain, u.moveOn)
	}
	u.mu.Unlock()
	for _, move := range moves {
		move()
	}
}

// fewLeft reports whether little keeps the server from loading.
func (u *upstream) fewLeft() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.report.Running*fewLeft <= u.server.Slots
}

// whenClosing has a request moved when its server closes.
func (t *ticket) whenClosing(move func()) {
	t.up.mu.Lock()
	defer t.up.mu.Unlock()
	t.move = move
}

// move has another server asked because the attempt's is closing: the same request from its begin, or a stream from where it
// is, on the same version.
func (a *attempt) move() {
	a.call.hedge(a, &ClosingError{Server: a.choice.server.ID})
}

// few reports whether so many servers are too few to take over what others hand on.
func (c *call) few(servers int) bool {
	return servers*enoughServers < len(c.entry.upstreams.of(c.service.Name))
}

// moveLimit returns how long the first event of another server may take for the request to be moved there; the call's mutex is
// held.
func (a *attempt) moveLimit() time.Duration {
	c := a.call
	switch {
	case c.passage == nil:
		return c.route.Goal
	case a.choice.up.fewLeft():
		return lateMove * c.route.PauseGoal
	default:
		return time.Duration(moveShare * float64(c.route.PauseGoal))
	}
}
