package fill

import (
	"context"
	"time"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/swarm"
)

const (
	// followEvery is how often a box looks for what to do next when nothing wakes it while a version is on its way, restEvery when
	// none is: each look wakes a processor that has nothing else to do.
	followEvery = 25 * time.Millisecond
	restEvery   = 250 * time.Millisecond
	// stepPause is how long after a look the next one comes at the earliest: what arrives meanwhile is decided on together. With
	// 30 boxes in a site, each of which tells all others of each piece, a box looked 40 times a piece.
	stepPause = 5 * time.Millisecond
	// stateTime bounds a call for the server's state and an order to it, and how old a state may be that entries hear;
	// originTime bounds a call to the origin and reading back all pieces, stageTime one piece to or from the server.
	stateTime  = time.Second
	originTime = 2 * time.Second
	stageTime  = time.Second
)

// follow takes step after step towards the version that should run, until ctx ends.
func (b *Box) follow(ctx context.Context) error {
	timer := time.NewTimer(followEvery)
	defer timer.Stop()
	for {
		changed := b.cfg.View.Changed()
		b.step(ctx)
		time.Sleep(stepPause)
		timer.Reset(b.restTime())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-changed:
		case <-b.woken:
		}
	}
}

// restTime returns how soon there may be something to do that nothing wakes the box for.
func (b *Box) restTime() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pending == nil && b.fill != nil && b.state.Loaded[b.fill.model] >= b.fill.version {
		return restEvery
	}
	return followEvery
}

// step does what can be done now towards the version that should run.
func (b *Box) step(ctx context.Context) {
	model, ok := b.model()
	if !ok || !b.heardOfServer() {
		return
	}
	target, _ := b.cfg.View.Target(model)
	if target == 0 {
		b.askNewest(ctx, model)
		return
	}
	f := b.aim(ctx, model, target)
	b.listAgain(ctx, f)
	if b.runs(model) >= f.version {
		b.settle(f)
		return
	}
	if b.haveManifest(f) {
		b.spread(f)
	}
}

// spread asks other boxes and the origin for what is missing.
func (b *Box) spread(f *filling) {
	members := b.siblings()
	b.mu.Lock()
	if f.feed == nil {
		b.mu.Unlock()
		return
	}
	if !sameList(members, f.members) && !equalMembers(members, f.members) {
		f.feed.Reorder(b.orderOf(f, members))
	}
	partners := f.partners
	actions := f.feed.Next(clock.Now())
	complete := f.feed.Complete()
	b.mu.Unlock()
	if !complete {
		b.links.want(f.ctx, partners)
	}
	for _, action := range actions {
		switch {
		case action.Draw:
			go b.draw(f, action.Chunk)
		case action.Drop:
			b.links.giveUp(f, action.Peer, action.Chunk)
		default:
			b.links.ask(f, action.Peer, action.Chunk)
		}
	}
}

// orderOf returns the order of the boxes for a version's pieces, and notes them as those that take part; mu is held.
func (b *Box) orderOf(f *filling, members []swarm.Member) *swarm.Order {
	order := swarm.NewOrder(f.model, len(f.manifest.Digests), members)
	f.members, f.partners = members, order.Partners(b.self())
	return order
}

// sameList reports whether two lists are one and the same.
func sameList(a, b []swarm.Member) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// equalMembers reports whether two lists hold the same members, in any order; neither holds one twice.
func equalMembers(a, b []swarm.Member) bool {
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
