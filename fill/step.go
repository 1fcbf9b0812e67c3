package fill

import (
	"context"
	"time"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/swarm"
)

const (
	// pollInterval and idlePollInterval are how often the box runs a step without being woken, while an update is active
	// and while none is.
	pollInterval     = 25 * time.Millisecond
	idlePollInterval = 250 * time.Millisecond
	// stepDelay is the pause after each step, so that messages that arrive together are handled in one step.
	// With 30 boxes in a site, each announcing each piece to all others, a box took 40 steps a piece without it.
	stepDelay = 5 * time.Millisecond
	// stateTimeout bounds a call for the server's state, an order, and the age of a state that is reported. originTimeout bounds
	// a call to the origin and the reading back of all pieces; stageTimeout bounds writing or reading one piece.
	stateTimeout  = time.Second
	originTimeout = 2 * time.Second
	stageTimeout  = time.Second
)

// runSteps moves the server towards the version that should run, until ctx ends.
func (b *Box) runSteps(ctx context.Context) error {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	for {
		changed := b.cfg.View.Changed()
		b.step(ctx)
		time.Sleep(stepDelay)
		timer.Reset(b.stepInterval())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-changed:
		case <-b.wakeup:
		}
	}
}

// stepInterval returns how long until the next step if nothing wakes the box.
func (b *Box) stepInterval() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pending == nil && b.active != nil && b.state.Loaded[b.active.model] >= b.active.version {
		return idlePollInterval
	}
	return pollInterval
}

// step does what can be done now towards the version that should run.
func (b *Box) step(ctx context.Context) {
	model, ok := b.model()
	if !ok || !b.hasServerState() {
		return
	}
	target, _ := b.cfg.View.Target(model)
	if target == 0 {
		b.fetchNewestVersion(ctx, model)
		return
	}
	u := b.setTarget(ctx, model, target)
	b.relistPieces(ctx, u)
	if b.loadedVersion(model) >= u.version {
		b.finishUpdate(u)
		return
	}
	if b.ensureManifest(u) {
		b.requestPieces(u)
	}
}

// requestPieces asks other boxes and the origin for missing pieces.
func (b *Box) requestPieces(u *update) {
	members := b.siblings()
	b.mu.Lock()
	if u.feed == nil {
		b.mu.Unlock()
		return
	}
	if !sameSlice(members, u.members) && !sameMembers(members, u.members) {
		u.feed.Reorder(b.assignPieces(u, members))
	}
	partners := u.partners
	actions := u.feed.Next(clock.Now())
	complete := u.feed.Complete()
	b.mu.Unlock()
	if !complete {
		b.links.ensureLinks(u.ctx, partners)
	}
	for _, action := range actions {
		switch {
		case action.Download:
			go b.downloadPiece(u, action.Chunk)
		case action.Cancel:
			b.links.cancelRequest(u, action.Peer, action.Chunk)
		default:
			b.links.requestPiece(u, action.Peer, action.Chunk)
		}
	}
}

// assignPieces returns the order in which boxes fetch a version's pieces, and records the members it is based on;
// mu is held.
func (b *Box) assignPieces(u *update, members []swarm.Member) *swarm.Order {
	order := swarm.NewOrder(u.model, len(u.manifest.Digests), members)
	u.members, u.partners = members, order.Partners(b.self())
	return order
}

// sameSlice reports whether two lists share their memory, which spares comparing the members.
func sameSlice(a, b []swarm.Member) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// sameMembers reports whether two lists hold the same members in any order; neither has duplicates.
func sameMembers(a, b []swarm.Member) bool {
	if len(a) != len(b) {
		return false
	}
	known := make(map[swarm.Member]bool, len(a))
	for _, member := range a {
		known[member] = true
	}
	for _, member := range b {
		if !known[member] {
			return false
		}
	}
	return true
}
