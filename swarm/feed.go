package swarm

import (
	"math"
	"slices"
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
	// standInFactor times the patience is how much later each rank draws a piece than the one before: boxes begin at times of
	// their own.
	standInFactor = 2
	// slowRest is how long a box that took too long is asked only for what no other holds.
	slowRest = 4 * time.Second
)

func (p FeedParams) withDefaults() FeedParams {
	p.Greet = or(p.Greet, DefaultGreet)
	p.Patience = or(p.Patience, DefaultFeedPatience)
	p.HolderPatience = or(p.HolderPatience, DefaultHolderPatience)
	p.Asks = or(p.Asks, DefaultAsks)
	p.Draws = or(p.Draws, DefaultFeedDraws)
	return p
}

// Feed is one box's view of one version of few pieces that all boxes take at the same time. Each piece has one drawer and
// in each site one home that takes it across, both by the order; a box asks those of its site that hold a piece, a home
// also those elsewhere, and later ranks stand in when nothing comes. Draws follow a schedule by the origin's link, and
// what is asked for at a time follows what the own link carries. It is not safe for concurrent use.
type Feed struct {
	params  FeedParams
	self    Member
	order   *Order
	places  [][2]int
	have    []bool
	missing int
	peers   map[string]*feedPeer
	asks    map[int]feedAsk
	drawing map[int]bool
	// retries are when pieces are drawn again that the origin could not be asked for.
	retries map[int]time.Time
	// away says that the origin could not be reached and nothing has come since, back is when something came then.
	away bool
	back time.Time
	// came counts the pieces that came, the first of them at firstCame.
	came      int
	firstCame time.Time
	room      int
	stalls    int
	way       time.Duration
	shrunk    time.Time
	began     time.Time
	news      time.Time
	salt      uint64
}

type feedPeer struct {
	member Member
	have   []bool
	asked  int
	queue  int
	came   time.Time
	rest   time.Time
	slow   time.Time
}

type feedAsk struct {
	peer  string
	since time.Time
}

// NewFeed returns a feed of a box that already holds the pieces in have.
func NewFeed(params FeedParams, self Member, order *Order, have []int, now time.Time) *Feed {
	f := &Feed{
		params: params.withDefaults(), self: self, have: make([]bool, order.chunks), missing: order.chunks,
		peers: make(map[string]*feedPeer), asks: make(map[int]feedAsk), drawing: make(map[int]bool),
		retries: make(map[int]time.Time), room: firstAsks, began: now, news: now, salt: score(self.ID, 0, self.Site),
	}
	for _, piece := range have {
		f.hold(piece)
	}
	f.Reorder(order)
	return f
}

// Complete reports whether all pieces are held.
func (f *Feed) Complete() bool { return f.missing == 0 }

// DrawFailed says that the origin did not give a piece.
func (f *Feed) DrawFailed(piece int) { delete(f.drawing, piece) }

// DrawUnreached says that the origin could not be reached for a piece: it is drawn in the next round of the schedule, so
// that pieces come one after the other again once the origin is back, not all at once over its link.
func (f *Feed) DrawUnreached(piece int, now time.Time) {
	delete(f.drawing, piece)
	f.retries[piece] = f.slot(piece, now.Add(1))
	f.away = true
}

// slot returns when the schedule comes to a piece at or after a time; it begins anew after each round.
func (f *Feed) slot(piece int, from time.Time) time.Time {
	round := max(time.Duration(len(f.have))*f.params.DrawEvery, f.params.Patience)
	slot := f.began.Add(f.params.Greet + time.Duration(piece)*f.params.DrawEvery)
	if slot.Before(from) {
		slot = slot.Add((from.Sub(slot) + round - 1) / round * round)
	}
	return slot
}

// due returns when one that stands in draws a piece.
func (f *Feed) due(piece, rank int) time.Time {
	return f.slot(piece, f.back).Add(time.Duration(rank+1) * standInFactor * f.params.Patience)
}

// DrawnAfter returns how long after a version is begun all of so many pieces are drawn; 0 when the origin's rate is not known.
func (p FeedParams) DrawnAfter(pieces int) time.Duration {
	if p.DrawEvery <= 0 {
		return 0
	}
	return p.withDefaults().Greet + time.Duration(pieces)*p.DrawEvery
}

// Drawer reports whether this box is the first to draw a piece, so that others wait to hear of it.
func (f *Feed) Drawer(piece int) bool { return f.places[f.order.Group(piece)][0] == 0 }

// Failed says that a box will not give a piece now, or gave a bad one; it is not asked for a while.
func (f *Feed) Failed(piece int, from string, now time.Time) {
	f.release(piece, from)
	if p := f.peers[from]; p != nil {
		p.have[piece] = false
		p.rest = now.Add(faultRest)
	}
}

// Got says that a piece came and was verified; from is empty when it was drawn, waited is how long its giver had others to
// give first. It returns the box that was asked for it in vain, empty when there is none.
func (f *Feed) Got(piece int, from string, waited time.Duration, now time.Time) (asked string) {
	if a, ok := f.asks[piece]; ok {
		if a.peer == from {
			f.adapt(from, now.Sub(a.since)-waited, now)
		} else {
			// It came after all, from a box that was given up too early: the own link is slow.
			asked = a.peer
			f.shrink(now)
		}
		f.release(piece, a.peer)
	}
	delete(f.drawing, piece)
	f.news, f.stalls = now, 0
	if f.away {
		f.away, f.back = false, now
	}
	if f.came == 0 {
		f.firstCame = now
	}
	f.came++
	if p := f.peers[from]; p != nil {
		p.came = now
	}
	f.hold(piece)
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

// Left returns how long the missing pieces are likely to take, by how long the others took; known is false as long as none
// has come.
func (f *Feed) Left(now time.Time) (left time.Duration, known bool) {
	switch {
	case f.Complete():
		return 0, true
	case f.came == 0 || f.away:
		return 0, false
	}
	return now.Sub(f.firstCame) * time.Duration(f.missing) / time.Duration(f.came), true
}

// Lost says that a held piece turned out bad or gone.
func (f *Feed) Lost(piece int) {
	if f.have[piece] {
		f.have[piece] = false
		f.missing++
	}
}

// Next returns what to do now and marks it as being done.
func (f *Feed) Next(now time.Time) []Action {
	if f.Complete() {
		return nil
	}
	actions := f.expire(now)
	actions = append(actions, f.nextDraws(now)...)
	return append(actions, f.nextAsks(now)...)
}

// Peer tells that a link to a box is up.
func (f *Feed) Peer(member Member) {
	if f.peers[member.ID] == nil {
		f.peers[member.ID] = &feedPeer{member: member, have: make([]bool, len(f.have))}
	}
}

// PeerGone tells that the link to a box has ended.
func (f *Feed) PeerGone(id string) {
	for piece, a := range f.asks {
		if a.peer == id {
			delete(f.asks, piece)
		}
	}
	delete(f.peers, id)
}

// PeerHas tells which pieces a box holds, all of them when reset, and how many it has to give before the next.
func (f *Feed) PeerHas(id string, reset bool, pieces []uint32, queue int) {
	p := f.peers[id]
	if p == nil {
		return
	}
	p.queue = queue
	if reset {
		clear(p.have)
	}
	for _, piece := range pieces {
		if int(piece) < len(p.have) {
			p.have[piece] = true
		}
	}
}

// Reorder takes a new order after boxes came or went.
func (f *Feed) Reorder(order *Order) {
	f.order = order
	f.places = make([][2]int, order.Groups())
	for group := range f.places {
		all, site := order.Places(group, f.self)
		f.places[group] = [2]int{all, site}
	}
}

// adapt lets as many pieces be asked for at a time as come soon after they left. The first slow one from a box may be
// its own link's fault: then the box is set aside.
func (f *Feed) adapt(from string, way time.Duration, now time.Time) {
	f.way += time.Duration(smoothing * float64(way-f.way))
	switch {
	case way < quickPiece:
		f.room = min(f.room+1, f.params.Asks)
	case way > slowPiece:
		if p := f.peers[from]; p != nil && !now.Before(p.slow) {
			p.slow = now.Add(slowRest)
		}
		f.shrink(now)
	}
}

// shrink takes a third of the asks at a time, once for what was on its way together.
func (f *Feed) shrink(now time.Time) {
	if now.Sub(f.shrunk) > shrinkPause {
		f.room, f.shrunk = max(f.room*2/3, 1), now
	}
}

// patience is how long a box that was asked may send nothing, longer while all pieces take long.
func (f *Feed) patience() time.Duration {
	return max(f.params.HolderPatience, patienceFactor/2*f.way) * time.Duration(1+f.stalls)
}

// expire gives up asks that a box does not answer, and leaves the box alone for a while. When nothing at all comes, the
// fault may be the own link's, on which what was asked for still waits: then as little as possible is asked for again.
func (f *Feed) expire(now time.Time) []Action {
	var actions []Action
	stalled := now.Sub(f.news) > f.params.HolderPatience
	for piece, a := range f.asks {
		p := f.peers[a.peer]
		if p == nil {
			delete(f.asks, piece)
			continue
		}
		if now.Sub(later(a.since, p.came)) <= f.patience() {
			continue
		}
		f.release(piece, a.peer)
		p.rest = now.Add(faultRest)
		p.slow = now.Add(slowRest)
		actions = append(actions, Action{Chunk: piece, Peer: a.peer, Drop: true})
	}
	if stalled && len(actions) > 0 {
		f.room = 1
		f.stalls = min(f.stalls+1, maxStalls)
	}
	return actions
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// nextDraws chooses pieces to draw: those of this box by the schedule, those of earlier ranks when nothing comes.
func (f *Feed) nextDraws(now time.Time) []Action {
	var actions []Action
	for piece := range f.have {
		if len(f.drawing) >= min(f.params.Draws, f.room) {
			break
		}
		if f.wanted(piece) && f.mayDraw(piece, now) {
			f.drawing[piece] = true
			actions = append(actions, Action{Chunk: piece, Draw: true, Rank: f.places[f.order.Group(piece)][0]})
		}
	}
	return actions
}

func (f *Feed) mayDraw(piece int, now time.Time) bool {
	rank := f.places[f.order.Group(piece)][0]
	switch {
	case rank < 0 || rank >= MaxPermits || f.known(piece) || now.Before(f.retries[piece]):
		return false
	case len(f.order.members) > 1 && now.Before(f.began.Add(f.params.Greet)):
		return false
	case rank == 0:
		return !now.Before(f.slot(piece, f.began))
	default:
		// Others draw it only once it is overdue: early on, nothing comes to most boxes because little has been drawn. While
		// the origin is away they leave it to the drawers to ask for it.
		return !f.away && !now.Before(f.due(piece, rank))
	}
}

// known reports whether any linked box that is not left alone holds a piece.
func (f *Feed) known(piece int) bool {
	for _, p := range f.peers {
		if p.have[piece] && !p.rest.After(f.news) {
			return true
		}
	}
	return false
}

// waited reports whether nothing has come for as long as a rank has to wait.
func (f *Feed) waited(rank int, now time.Time) bool {
	return now.Sub(f.news) >= time.Duration(min(rank, maxRankWaits))*f.params.Patience
}

// nextAsks chooses pieces to ask for: those that this box takes across for its site first, then those of the least loaded
// holders, of these the rarest. By rarity alone all boxes of a site would ask the one holder of the newest piece.
func (f *Feed) nextAsks(now time.Time) []Action {
	room := f.room - len(f.asks) - len(f.drawing)
	if len(f.asks) == 0 && room <= 0 {
		room = 1
	}
	if room <= 0 {
		return nil
	}
	found := f.candidates(now)
	var actions []Action
	for _, c := range found {
		if len(actions) == room {
			break
		}
		if p := f.holder(c.chunk, now); p != nil {
			f.asks[c.chunk] = feedAsk{peer: p.member.ID, since: now}
			p.asked++
			actions = append(actions, Action{Chunk: c.chunk, Peer: p.member.ID})
		}
	}
	return actions
}

func (f *Feed) candidates(now time.Time) []candidate {
	var found []candidate
	for piece := range f.have {
		if !f.wanted(piece) {
			continue
		}
		copies, near, load := 0, false, math.MaxInt
		for _, p := range f.peers {
			if p.have[piece] && !now.Before(p.rest) {
				copies++
				load = min(load, p.load())
				near = near || p.member.Site == f.self.Site && !now.Before(p.slow)
			}
		}
		if copies > 0 && (near || f.mayCross(piece, now)) {
			found = append(found, candidate{
				chunk: piece, load: load, copies: copies, planned: near, tie: score(f.self.ID, uint64(piece), ""),
			})
		}
	}
	slices.SortFunc(found, compareCandidates)
	return found
}

// mayCross says whether this box's turn to fetch a piece from another site has come.
func (f *Feed) mayCross(piece int, now time.Time) bool {
	place := f.places[f.order.Group(piece)][1]
	return place == 0 || place > 0 && f.waited(place, now)
}

// holder returns the box to ask for a piece: of those that are quick, of those of the own site, the less loaded of two.
// Asking the least loaded of all would send every box that heard the same news to the same giver.
func (f *Feed) holder(piece int, now time.Time) *feedPeer {
	var first, second *feedPeer
	for _, p := range f.peers {
		if !p.have[piece] || now.Before(p.rest) {
			continue
		}
		switch {
		case first == nil || f.before(p, first, piece, now):
			first, second = p, first
		case second == nil || f.before(p, second, piece, now):
			second = p
		}
	}
	if second != nil && f.class(first, now) == f.class(second, now) && second.load() < first.load() {
		return second
	}
	return first
}

// class orders boxes by what asking them costs: slow ones last, then those of other sites.
func (f *Feed) class(p *feedPeer, now time.Time) int {
	class := 0
	if now.Before(p.slow) {
		class += 2
	}
	if p.member.Site != f.self.Site {
		class++
	}
	return class
}

// before orders boxes by class, and within one in an order that changes with each piece held.
func (f *Feed) before(a, b *feedPeer, piece int, now time.Time) bool {
	if classA, classB := f.class(a, now), f.class(b, now); classA != classB {
		return classA < classB
	}
	salt := f.salt + uint64(piece)<<16 + uint64(f.missing)
	return score(a.member.ID, salt, "") < score(b.member.ID, salt, "")
}

// load is what a box has to give before a piece that it is asked for now, as far as is known.
func (p *feedPeer) load() int { return 2*p.asked + p.queue }

func (f *Feed) wanted(piece int) bool {
	_, asked := f.asks[piece]
	return !f.have[piece] && !asked && !f.drawing[piece]
}

func (f *Feed) release(piece int, from string) {
	if a, ok := f.asks[piece]; ok && a.peer == from {
		delete(f.asks, piece)
		if p := f.peers[from]; p != nil {
			p.asked--
		}
	}
}

func (f *Feed) hold(piece int) {
	if !f.have[piece] {
		f.have[piece] = true
		f.missing--
	}
}
