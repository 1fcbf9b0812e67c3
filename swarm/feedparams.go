package swarm

import (
	"cmp"
	"time"
)

// FeedParams are the times and bounds of a feed; a zero field takes its default.
type FeedParams struct {
	// Greet is how long a box waits to hear what others hold before it draws anything.
	Greet time.Duration
	// Patience is how long no piece at all may come before the next rank fetches across sites or draws.
	Patience time.Duration
	// HolderPatience is how long a box that was asked may send nothing.
	HolderPatience time.Duration
	// Asks is how many pieces are asked for at a time at most; fewer when they take long to come.
	Asks int
	// Draws is how many pieces are drawn from the origin at a time.
	Draws int
	// DrawEvery is how long the origin's link takes for one piece: pieces are drawn one after the other, over all boxes, so
	// that the first can be handed on at once.
	DrawEvery time.Duration
}

// Defaults of FeedParams.
const (
	DefaultGreet          = 80 * time.Millisecond
	DefaultFeedPatience   = 300 * time.Millisecond
	DefaultHolderPatience = time.Second
	DefaultFeedDraws      = 2
	DefaultAsks           = 6

	// faultRest is how long a box that did not deliver is not asked.
	faultRest = time.Second
	// slowPiece and quickPiece are how long a piece is on its way that takes one from the asks at a time, and that allows one
	// more: what waits on a narrow link would hold up the requests behind it.
	slowPiece   = 600 * time.Millisecond
	quickPiece  = 250 * time.Millisecond
	firstAsks   = 2
	shrinkPause = 200 * time.Millisecond
	// maxStalls bounds by how many times an ask may take longer while nothing comes.
	maxStalls = 3
	// lateWeight is one over the weight of the newest piece in how late pieces are usually heard of.
	lateWeight = 8
	// firstLate is how late pieces are taken to be heard of as long as none was.
	firstLate = 300 * time.Millisecond
	// slowRest is how long a box that took too long is asked only for what no other holds.
	slowRest = 4 * time.Second
)

func (p FeedParams) withDefaults() FeedParams {
	p.Greet = cmp.Or(p.Greet, DefaultGreet)
	p.Patience = cmp.Or(p.Patience, DefaultFeedPatience)
	p.HolderPatience = cmp.Or(p.HolderPatience, DefaultHolderPatience)
	p.Asks = cmp.Or(p.Asks, DefaultAsks)
	p.Draws = cmp.Or(p.Draws, DefaultFeedDraws)
	return p
}

// DrawnAfter returns how long after a version is begun all of so many pieces are drawn; 0 when the origin's rate is not known.
func (p FeedParams) DrawnAfter(pieces int) time.Duration {
	if p.DrawEvery <= 0 {
		return 0
	}
	return p.withDefaults().Greet + time.Duration(pieces)*p.DrawEvery
}
