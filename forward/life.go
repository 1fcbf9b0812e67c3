package forward

import (
	"time"

	"github.com/coralstair/coralstair/contract"
)

// A server may start again under its id, holding nothing of before. Each life is an upstream of its own, so that nothing that was
// believed of the older one is believed of the newer: what it runs, what is in progress there, how late it is, its failures.
// Messages of an older life that arrive late change nothing.

// life is how a birth that is told of a server relates to the life that an upstream stands for.
type life int

const (
	lifeSame life = iota
	// lifeNew is a later one, lifeEnded an earlier one.
	lifeNew
	lifeEnded
)

// lifeOf tells of which life a server's box speaks. Births that a box tells are ordered by themselves: of two that differ the
// earlier one is a message that was delayed. A server whose clock stepped back is believed once the list tells its birth.
func (u *upstream) lifeOf(born int64) life {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case !contract.IsAnotherLife(born, u.born):
		return lifeSame
	case born > u.born:
		return lifeNew
	default:
		return lifeEnded
	}
}

// hasEnded reports whether the list tells of another life than the one that this stands for. The list is ordered by the store,
// so that any change of the birth there is a new life, unless the server's box has told of it before.
func (u *upstream) hasEnded(listed int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return contract.IsAnotherLife(listed, u.listedBorn) && contract.IsAnotherLife(listed, u.born)
}

// successor returns the life of the server that began after this one.
func (u *upstream) successor(born int64) *upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	next := &upstream{server: u.server, born: born, listedBorn: u.listedBorn, weight: u.weight, missing: u.missing, goneAt: u.goneAt}
	next.server.Born, next.server.Loaded = born, nil
	return next
}

// abandon ends the requests that are in progress at a life that has ended, as far as they are certain to be there: on connections
// opened before this life was last heard of. What was sent later may be at the new life.
func (u *upstream) abandon() {
	u.mu.Lock()
	var ends []func(error)
	for t := range u.tickets {
		if t.abandon != nil && !t.connected.IsZero() && t.connected.Before(u.reportAt) {
			ends = append(ends, t.abandon)
		}
	}
	id := u.server.ID
	u.mu.Unlock()
	for _, end := range ends {
		end(&RestartedError{Server: id})
	}
}

// connectedAt notes when the connection was opened on which the request leaves.
func (t *ticket) connectedAt(opened time.Time) {
	t.up.mu.Lock()
	defer t.up.mu.Unlock()
	t.connected = opened
}

// whenRestarted has a request end when its server starts again.
func (t *ticket) whenRestarted(abandon func(cause error)) {
	t.up.mu.Lock()
	defer t.up.mu.Unlock()
	t.abandon = abandon
}
