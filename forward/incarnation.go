package forward

import (
	"time"

	"github.com/coralstair/coralstair/contract"
)

// A server may restart under its ID and lose all state. Each incarnation has an upstream of its own, so that loaded
// versions, requests in flight, lag and failures are not carried over. Late messages of an older incarnation are
// ignored.

// incarnationOrder relates a reported start time to the incarnation of an upstream.
type incarnationOrder int

const (
	sameIncarnation incarnationOrder = iota
	newerIncarnation
	olderIncarnation
)

// compareIncarnation compares the start time reported by the server's box. An earlier one belongs to a delayed message;
// if the server's clock stepped back, it is accepted once the list shows it.
func (u *upstream) compareIncarnation(born int64) incarnationOrder {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case !contract.DifferentIncarnations(born, u.born):
		return sameIncarnation
	case born > u.born:
		return newerIncarnation
	default:
		return olderIncarnation
	}
}

// isReplacedBy reports whether the list shows a new incarnation. The store orders the list, so any other start time is a
// new incarnation unless the server's box has reported it before.
func (u *upstream) isReplacedBy(listed int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return contract.DifferentIncarnations(listed, u.listedBorn) && contract.DifferentIncarnations(listed, u.born)
}

// successor returns the upstream of the server's next incarnation.
func (u *upstream) successor(born int64) *upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	next := &upstream{server: u.server, born: born, listedBorn: u.listedBorn, weight: u.weight, missing: u.missing, unusableAt: u.unusableAt}
	next.server.Born, next.server.Loaded = born, nil
	next.pool = newConnPool(u.server.Address)
	return next
}

// abortInFlight aborts the requests that were certainly sent to the ended incarnation: those on connections opened
// before its latest report. Later connections may lead to the new incarnation.
func (u *upstream) abortInFlight() {
	u.mu.Lock()
	var aborts []func(error)
	for r := range u.inFlightRequests {
		if r.abort != nil && !r.connected.IsZero() && r.connected.Before(u.reportAt) {
			aborts = append(aborts, r.abort)
		}
	}
	id := u.server.ID
	u.mu.Unlock()
	for _, abort := range aborts {
		abort(&RestartedError{Server: id})
	}
}

// setConnectedAt records when the connection of the request was opened.
func (r *inFlightRequest) setConnectedAt(opened time.Time) {
	r.up.mu.Lock()
	defer r.up.mu.Unlock()
	r.connected = opened
}

// onServerRestart sets the function that aborts the request when its server restarts.
func (r *inFlightRequest) onServerRestart(abort func(cause error)) {
	r.up.mu.Lock()
	defer r.up.mu.Unlock()
	r.abort = abort
}
