package swarm

import (
	"slices"
	"testing"
	"time"
)

// The simulated times: of a piece on a box's link, of a piece on the origin's link, and of a message.
const (
	pieceTime    = 37 * time.Millisecond
	originTime   = 26 * time.Millisecond
	announceTime = 8 * time.Millisecond
	simTick      = 2 * time.Millisecond
)

// feedSim simulates feeds in virtual time. Each box sends and receives one piece at a time, requests of other sites first;
// announcements arrive after a delay, with the sender's queue length.
type feedSim struct {
	now                                time.Time
	order                              *Order
	feeds                              map[string]*Feed
	dead                               map[string]bool
	corrupts                           map[string]bool
	slow                               map[string]time.Duration
	requests                           map[string][]simRequest
	uplinkBusyUntil, downlinkBusyUntil map[string]time.Time
	events                             []simEvent
	// The origin is unreachable before originUpAt, and from originDownAt to originBackAt (zero: for good). downloadHang is how
	// long a download hangs meanwhile, maxOriginQueue the longest queue of the origin's link.
	originDownAt    time.Time
	originUpAt      time.Time
	originBackAt    time.Time
	downloadHang    time.Duration
	maxOriginQueue  time.Duration
	downloads       int
	failedDownloads int
	crossings       int
	duplicates      int
	announcements   int
}

type simRequest struct {
	to        string
	piece     int
	crossSite bool
	since     time.Time
}

type simEvent struct {
	at  time.Time
	run func()
}

func newFeedSim(members []Member, pieces int, have func(Member) []int) *feedSim {
	w := &feedSim{
		now: testStart, order: NewOrder("salt", pieces, members), feeds: make(map[string]*Feed),
		dead: make(map[string]bool), corrupts: make(map[string]bool), slow: make(map[string]time.Duration),
		requests: make(map[string][]simRequest), uplinkBusyUntil: make(map[string]time.Time), downlinkBusyUntil: make(map[string]time.Time),
	}
	for _, member := range members {
		w.feeds[member.ID] = NewFeed(FeedParams{DownloadInterval: originTime}, member, w.order, have(member), w.now)
	}
	for _, member := range members {
		w.link(member)
	}
	return w
}

// link connects a box with its partners and announces their pieces to it.
func (w *feedSim) link(member Member) {
	for _, other := range w.order.Partners(member) {
		w.feeds[member.ID].Peer(other)
		w.feeds[member.ID].PeerHas(other.ID, true, w.feeds[other.ID].Held(), 0, w.now)
	}
}

func (w *feedSim) after(d time.Duration, do func()) {
	w.events = append(w.events, simEvent{w.now.Add(d), do})
}

func (w *feedSim) step() {
	w.now = w.now.Add(simTick)
	events := w.events
	w.events = nil
	for _, e := range events {
		if e.at.After(w.now) {
			w.events = append(w.events, e)
			continue
		}
		e.run()
	}
	for _, member := range w.order.members {
		if w.dead[member.ID] {
			continue
		}
		for _, action := range w.feeds[member.ID].Next(w.now) {
			w.apply(member, action)
		}
	}
}

func (w *feedSim) apply(member Member, action Action) {
	switch {
	case action.Cancel:
		w.requests[action.Peer] = slices.DeleteFunc(w.requests[action.Peer], func(req simRequest) bool {
			return req.to == member.ID && req.piece == action.Chunk
		})
	case action.Download && w.originDown():
		w.failedDownloads++
		w.after(w.downloadHang, func() { w.feeds[member.ID].OriginUnreachable(action.Chunk, w.now) })
	case action.Download:
		w.downloads++
		w.uplinkBusyUntil["origin"] = later(w.now, w.uplinkBusyUntil["origin"]).Add(originTime)
		w.maxOriginQueue = max(w.maxOriginQueue, w.uplinkBusyUntil["origin"].Sub(w.now))
		w.after(w.uplinkBusyUntil["origin"].Sub(w.now), func() { w.deliver(member.ID, action.Chunk, "", 0) })
	case !w.dead[action.Peer]:
		req := simRequest{to: member.ID, piece: action.Chunk, crossSite: w.site(action.Peer) != member.Site}
		w.after(announceTime, func() {
			req.since = w.now
			w.requests[action.Peer] = append(w.requests[action.Peer], req)
			w.sendNext(action.Peer)
		})
	}
}

func (w *feedSim) originDown() bool {
	return w.now.Before(w.originUpAt) || !w.originDownAt.IsZero() && !w.now.Before(w.originDownAt) && (w.originBackAt.IsZero() || w.now.Before(w.originBackAt))
}

// sendNext sends the next piece requested from a box, unless its uplink is busy.
func (w *feedSim) sendNext(from string) {
	if w.uplinkBusyUntil[from].After(w.now) || len(w.requests[from]) == 0 || w.dead[from] {
		return
	}
	i := max(slices.IndexFunc(w.requests[from], func(req simRequest) bool { return req.crossSite }), 0)
	req := w.requests[from][i]
	w.requests[from] = slices.Delete(w.requests[from], i, i+1)
	takes := max(pieceTime, w.slow[from], w.slow[req.to])
	w.uplinkBusyUntil[from] = w.now.Add(max(pieceTime, w.slow[from]))
	w.downlinkBusyUntil[req.to] = later(w.now, w.downlinkBusyUntil[req.to]).Add(takes)
	queued := w.now.Sub(req.since)
	w.after(w.uplinkBusyUntil[from].Sub(w.now), func() { w.sendNext(from) })
	w.after(w.downlinkBusyUntil[req.to].Sub(w.now), func() { w.deliver(req.to, req.piece, from, queued) })
}

func (w *feedSim) deliver(to string, piece int, from string, queued time.Duration) {
	f := w.feeds[to]
	switch {
	case w.dead[to]:
		return
	case w.corrupts[from]:
		f.RequestFailed(piece, from, w.now)
		return
	case f.Holds(piece):
		w.duplicates++
		return
	case from != "" && w.site(from) != f.self.Site:
		w.crossings++
	}
	f.Received(piece, from, queued, w.now)
	pieces := []uint32{uint32(piece)}
	if f.Complete() {
		pieces = f.Held()
	}
	queue := len(w.requests[to])
	for _, other := range w.order.members {
		if other.ID != to && (other.Site == f.self.Site || f.IsDownloader(piece) || from == "" || f.Complete()) {
			if w.feeds[other.ID].peers[to] != nil {
				w.announcements++
			}
			w.after(announceTime, func() { w.feeds[other.ID].PeerHas(to, false, pieces, queue, w.now) })
		}
	}
}

func (w *feedSim) site(id string) string {
	for _, member := range w.order.members {
		if member.ID == id {
			return member.Site
		}
	}
	return ""
}

// run steps until all live boxes hold all pieces, and returns how long that took.
func (w *feedSim) run(t *testing.T, limit time.Duration) time.Duration {
	t.Helper()
	for w.now.Sub(testStart) < limit {
		w.step()
		done := true
		for id, f := range w.feeds {
			done = done && (w.dead[id] || f.Complete())
		}
		if done {
			return w.now.Sub(testStart)
		}
	}
	for id, f := range w.feeds {
		t.Logf("%s holds %d", id, f.Have())
	}
	t.Fatalf("not all boxes hold all pieces after %s", limit)
	return 0
}

const feedPieces = 64

func holdsNone(Member) []int { return nil }

func allPieces() []int {
	pieces := make([]int, feedPieces)
	for i := range pieces {
		pieces[i] = i
	}
	return pieces
}

func toPieces(of []int) []uint32 {
	pieces := make([]uint32, len(of))
	for i, piece := range of {
		pieces[i] = uint32(piece)
	}
	return pieces
}
