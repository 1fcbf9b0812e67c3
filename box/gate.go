package box

import (
	"sync"

	"github.com/coralstair/coralstair/invariant"
)

// Offer is what a box serves: a version, its manifest's digest and the digest of the whole weights.
type Offer struct {
	Version string
	Digest  string
	Whole   string
}

// Gate lets requests in while the box serves, and counts those in progress; a zero Gate is closed.
type Gate struct {
	mu     sync.Mutex
	open   bool
	offer  Offer
	reason string
	inside int
	idle   chan struct{}
}

// Close lets no new request in; those inside go on.
func (g *Gate) Close(reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = false
	g.reason = reason
}

// Enter lets a request in, unless slots are taken already; the caller calls Leave once it is done. ok is false, with
// the reason, when it does not. Slots of 0 mean no limit.
func (g *Gate) Enter(slots int) (offer Offer, reason string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.open {
		if g.reason == "" {
			return Offer{}, "the box does not serve", false
		}
		return Offer{}, g.reason, false
	}
	if slots > 0 && g.inside >= slots {
		return Offer{}, "the box is full", false
	}
	g.inside++
	return g.offer, "", true
}

// Idle returns a channel that is closed when no request is inside.
func (g *Gate) Idle() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.idle == nil {
		g.idle = make(chan struct{})
		if g.inside == 0 {
			close(g.idle)
		}
	}
	idle := g.idle
	if g.inside == 0 {
		g.idle = nil
	}
	return idle
}

// Inside returns the number of requests in progress.
func (g *Gate) Inside() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inside
}

// Leave ends a request that Enter let in.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inside--
	if g.inside == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Open lets requests in to an offer. While requests of another offer are inside it stays closed, since their
// answers would come from two versions.
func (g *Gate) Open(offer Offer, checks *invariant.Recorder) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inside > 0 && !checks.Check(offer == g.offer, invariant.OneVersion,
		"offer %s would replace %s under %d requests", offer.Digest, g.offer.Digest, g.inside) {
		return false
	}
	g.open = true
	g.offer = offer
	g.reason = ""
	return true
}

// State returns the offer and whether the gate is open.
func (g *Gate) State() (offer Offer, open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.offer, g.open
}
