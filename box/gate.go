package box

import (
	"sync"

	"github.com/coralstair/coralstair/invariant"
)

// ServedVersion is what a box serves: a version, its manifest's digest and, as Whole, the digest of the whole weights.
type ServedVersion struct {
	Version string
	Digest  string
	Whole   string
}

// Gate admits requests while the box serves, and counts those in flight; a zero Gate is closed.
type Gate struct {
	mu       sync.Mutex
	open     bool
	served   ServedVersion
	reason   string
	inFlight int
	idle     chan struct{}
}

// Close stops admitting requests; those in flight go on.
func (g *Gate) Close(reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = false
	g.reason = reason
}

// Acquire admits a request unless slots requests are in flight; 0 means no limit. The caller calls Release once it is done;
// if ok is false, reason says why the request was refused.
func (g *Gate) Acquire(slots int) (version ServedVersion, reason string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.open {
		if g.reason == "" {
			return ServedVersion{}, "the box does not serve", false
		}
		return ServedVersion{}, g.reason, false
	}
	if slots > 0 && g.inFlight >= slots {
		return ServedVersion{}, "the box is full", false
	}
	g.inFlight++
	return g.served, "", true
}

// Idle returns a channel that is closed when no request is in flight.
func (g *Gate) Idle() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.idle == nil {
		g.idle = make(chan struct{})
		if g.inFlight == 0 {
			close(g.idle)
		}
	}
	idle := g.idle
	if g.inFlight == 0 {
		g.idle = nil
	}
	return idle
}

// InFlight returns the number of requests in flight.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// Release ends a request that Acquire admitted.
func (g *Gate) Release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if g.inFlight == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Open admits requests to a version. It fails while requests of another version are in flight, since the response to one
// request must come from one version.
func (g *Gate) Open(version ServedVersion, checks *invariant.Recorder) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlight > 0 && !checks.Check(version == g.served, invariant.OneVersion,
		"offer %s would replace %s under %d requests", version.Digest, g.served.Digest, g.inFlight) {
		return false
	}
	g.open = true
	g.served = version
	g.reason = ""
	return true
}

// State returns the served version and whether the gate is open.
func (g *Gate) State() (version ServedVersion, open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.served, g.open
}
