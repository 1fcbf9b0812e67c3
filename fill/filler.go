package fill

import (
	"context"
	"time"

	"github.com/coralstair/coralstair/swarm"
)

const (
	// followEvery is how often a box looks for what to do next when nothing wakes it.
	followEvery = 25 * time.Millisecond
	// stateTime bounds a call for the server's state and an order to it, and how old a state may be that entries hear;
	// originTime bounds a call to the origin and reading back all pieces, stageTime one piece to or from the server.
	stateTime  = time.Second
	originTime = 2 * time.Second
	stageTime  = time.Second
)

// follow takes step after step towards the version that should run, until ctx ends.
func (b *Box) follow(ctx context.Context) error {
	ticker := time.NewTicker(followEvery)
	defer ticker.Stop()
	for {
		b.step(ctx)
		changed := b.cfg.View.Changed()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-changed:
		case <-b.woken:
		}
	}
}

// step does what can be done now towards the version that should run.
func (b *Box) step(ctx context.Context) {
	model, ok := b.model()
	if !ok || !b.known() {
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
	if !equalMembers(members, f.members) {
		f.feed.Reorder(b.orderOf(f, members))
	}
	partners := f.partners
	actions := f.feed.Next(time.Now())
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
