package swarm

import "time"

// Feed schedules one box's transfer of a version of few pieces that all boxes fetch at the same time. Downloads follow a
// schedule paced by the origin's link, and requests a window adapted to the box's own link.
// It is not safe for concurrent use.
type Feed struct {
	params FeedParams
	self   Member
	order  *Order
	// ranks are this box's ranks for each group: among all boxes and within its site.
	ranks   [][2]int
	have    []bool
	missing int
	peers   map[string]*feedPeer
	// gone are the boxes whose links ended during the transfer. One that is linked again stays in it: it first fetches the pieces that it
	// missed, which fills its own link.
	gone map[string]bool
	// requests are the pieces requested from peers, downloading those being downloaded from the origin.
	requests    map[int]pieceRequest
	downloading map[int]bool
	// retryAt is when a piece is downloaded again after the origin was unreachable.
	retryAt map[int]time.Time
	// originDown is set when the origin is unreachable, until a piece arrives: then originUpAt is that time and backlog the
	// number of pieces that no box held.
	originDown bool
	originUpAt time.Time
	backlog    int
	// received counts the pieces received, the first of them at firstReceived.
	received      int
	firstReceived time.Time
	// firstSeen is when a piece was first known to be held by any box, lastSeen the latest of these times; meanLag is the mean delay
	// from a piece's slot to its firstSeen.
	firstSeen []time.Time
	lastSeen  time.Time
	meanLag   time.Duration
	// window bounds the requests and downloads in flight; it last shrank at shrunkAt.
	window   int
	shrunkAt time.Time
	// stalls counts consecutive request timeouts without any piece; lastReceived is when the last piece arrived.
	stalls       int
	lastReceived time.Time
	// meanLatency is the mean time from a request to its piece, without the wait at the sender.
	meanLatency time.Duration
	// joined is when this box began to take part, started when the schedule of all began by what this box knows: the same time, or an
	// earlier one if beganLate.
	joined    time.Time
	started   time.Time
	beganLate bool
	salt      uint64
}

// NewFeed returns a feed for a box that already holds the pieces in have.
func NewFeed(params FeedParams, self Member, order *Order, have []int, now time.Time) *Feed {
	f := &Feed{
		params: params.withDefaults(), self: self, have: make([]bool, order.chunks), firstSeen: make([]time.Time, order.chunks), missing: order.chunks,
		peers: make(map[string]*feedPeer), gone: make(map[string]bool), requests: make(map[int]pieceRequest), downloading: make(map[int]bool),
		retryAt: make(map[int]time.Time), window: initialWindow, meanLag: initialLag, joined: now, started: now, lastReceived: now, salt: score(self.ID, 0, self.Site),
	}
	for _, piece := range have {
		f.markHeld(piece)
	}
	f.Reorder(order)
	return f
}

// Complete reports whether all pieces are held.
func (f *Feed) Complete() bool { return f.missing == 0 }

// Received records that a piece arrived and was verified; from is empty for the origin, queued is how long the request waited
// at the sender. It returns the peer that was asked for the piece but did not send it first, or an empty string.
func (f *Feed) Received(piece int, from string, queued time.Duration, now time.Time) (asked string) {
	if req, ok := f.requests[piece]; ok {
		if req.peer == from {
			f.adaptWindow(from, now.Sub(req.since)-queued, now)
		} else {
			// It arrived from a peer that timed out too early or from the origin: this box's link may be slow.
			asked = req.peer
			f.shrinkWindow(now)
		}
		f.release(piece, req.peer)
	}
	delete(f.downloading, piece)
	f.recordSeen(piece, now)
	f.lastReceived, f.stalls = now, 0
	if f.originDown {
		f.originDown, f.originUpAt, f.backlog = false, now, f.Unheld()
	}
	if f.received == 0 {
		f.firstReceived = now
	}
	f.received++
	if p := f.peers[from]; p != nil {
		p.lastReceived = now
	}
	f.markHeld(piece)
	return asked
}

// Have returns the number of pieces held.
func (f *Feed) Have() int { return len(f.have) - f.missing }

// Held returns the pieces held.
func (f *Feed) Held() []uint32 {
	var held []uint32
	for piece, ok := range f.have {
		if ok {
			held = append(held, uint32(piece))
		}
	}
	return held
}

// Holds reports whether a piece is held.
func (f *Feed) Holds(piece int) bool { return f.have[piece] }

// TimeLeft estimates the time for the missing pieces from the pace so far; known is false before the first piece and while
// the origin is unreachable.
func (f *Feed) TimeLeft(now time.Time) (left time.Duration, known bool) {
	switch {
	case f.Complete():
		return 0, true
	case f.received == 0 || f.originDown:
		return 0, false
	}
	return now.Sub(f.firstReceived) * time.Duration(f.missing) / time.Duration(f.received), true
}

// PieceLost records that a held piece is corrupt or gone.
func (f *Feed) PieceLost(piece int) {
	if f.have[piece] {
		f.have[piece] = false
		f.missing++
	}
}

// Next returns the actions to start now and records them as in progress.
func (f *Feed) Next(now time.Time) []Action {
	if f.Complete() {
		return nil
	}
	actions := f.expire(now)
	actions = append(actions, f.nextDownloads(now)...)
	return append(actions, f.nextRequests(now)...)
}

// Reorder replaces the order after a change of the fleet's members.
func (f *Feed) Reorder(order *Order) {
	f.order = order
	f.ranks = make([][2]int, order.Groups())
	for group := range f.ranks {
		all, site := order.Ranks(group, f.self)
		f.ranks[group] = [2]int{all, site}
	}
}

func (f *Feed) wanted(piece int) bool {
	_, requested := f.requests[piece]
	return !f.have[piece] && !requested && !f.downloading[piece]
}

func (f *Feed) markHeld(piece int) {
	if !f.have[piece] {
		f.have[piece] = true
		f.missing--
	}
}
