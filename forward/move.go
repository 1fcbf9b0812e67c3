package forward

import (
	"time"

	"github.com/coralstair/coralstair/contract"
)

const (
	// moveAfter is how long after a server closes to load another version what still runs there is moved: the server loads
	// once the last has ended, and until then does little.
	moveAfter = 150 * time.Millisecond
	// moveShare is the part of the pause that is in time which a move may take.
	moveShare = 0.6
)

// moveOn has requests go on elsewhere that hold a server up which is closing.
func (u *upstream) moveOn() {
	u.mu.Lock()
	var moves []func()
	if u.closing(time.Now()) {
		for _, move := range u.movable {
			moves = append(moves, move)
		}
	}
	u.mu.Unlock()
	for _, move := range moves {
		move()
	}
}

// whenClosing has a request moved when its server closes.
func (t *ticket) whenClosing(move func()) {
	t.up.mu.Lock()
	defer t.up.mu.Unlock()
	if t.up.movable == nil {
		t.up.movable = make(map[*ticket]func())
	}
	t.up.movable[t] = move
}

// enter makes an attempt the call's current one, which may be moved.
func (c *call) enter(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = a
	if c.route.Repeatable() && c.service.Engine != nil {
		a.ticket.whenClosing(a.move)
	}
}

// exit ends the time in which an attempt may be moved.
func (c *call) exit(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == a {
		c.current = nil
	}
}

// streamsFrom notes that events of a version are passed on from now on.
func (c *call) streamsFrom(version contract.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streaming = version
}

// move ends an attempt if another server takes the request over in time: the same request from its begin, or a stream from
// where it is, on the same version.
func (a *attempt) move() {
	c := a.call
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != a || c.offered >= c.route.Attempts {
		return
	}
	limit := c.route.Goal
	if c.streaming != 0 {
		limit = time.Duration(moveShare * float64(c.route.PauseGoal))
	}
	now := time.Now()
	want := c.wanted()
	want.exact = c.streaming
	ch, ok := c.entry.choose(want, now)
	if !ok || ch.first > limit || !c.entry.budget.Again(c.service.Name, now) {
		return
	}
	c.granted, c.current = true, nil
	moves.Inc()
	a.cancel(&MovedError{Server: a.choice.server.ID})
}

// mayRepeat takes a second send from the budget, unless it was taken when the request was moved.
func (c *call) mayRepeat() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	granted := c.granted
	c.granted = false
	return granted || c.entry.budget.Again(c.service.Name, time.Now())
}
