package swarm

import (
	"slices"
	"time"
)

// FeedParams are the times of a feed; a zero field takes its default.
type FeedParams struct {
	// Greet is how long a box waits to hear what others hold before it draws anything.
	Greet time.Duration
	// Patience is how long no piece at all may come before more boxes are asked for the same piece.
	Patience time.Duration
	// HolderPatience is how long a box that holds what was asked may send nothing.
	HolderPatience time.Duration
	// DrawPatience is how long each later rank waits before it draws what the earlier ranks should have drawn.
	DrawPatience time.Duration
	// Draws is how many pieces are drawn from the origin at a time.
	Draws int
	// DrawEvery is how long the origin's link takes for one piece: pieces are drawn one after the other, over all boxes, so
	// that the first can be handed on at once.
	DrawEvery time.Duration
}

// Defaults of FeedParams.
const (
	DefaultGreet          = 80 * time.Millisecond
	DefaultFeedPatience   = 400 * time.Millisecond
	DefaultHolderPatience = 600 * time.Millisecond
	DefaultDrawPatience   = 300 * time.Millisecond
	DefaultFeedDraws      = 2

	// askLimit is how long an ask stands at most, whatever else comes meanwhile.
	askLimit = 8 * time.Second
	// faultRest is how long a box that did not deliver is not asked.
	faultRest = time.Second
)

func (p FeedParams) withDefaults() FeedParams {
	p.Greet = or(p.Greet, DefaultGreet)
	p.Patience = or(p.Patience, DefaultFeedPatience)
	p.HolderPatience = or(p.HolderPatience, DefaultHolderPatience)
	p.DrawPatience = or(p.DrawPatience, DefaultDrawPatience)
	p.Draws = or(p.Draws, DefaultFeedDraws)
	return p
}

// Feed is one box's view of one version that spreads by standing asks: a box asks for a piece once, and is given it as
// soon as the other has it. Each piece has one drawer, and in each site one home that takes it across; both follow from
// the order, so that in the undisturbed case no box has to tell what it holds. Boxes that do hold pieces go before the
// order, so that a replaced box takes from its neighbours. It is not safe for concurrent use.
type Feed struct {
	params  FeedParams
	self    Member
	order   *Order
	places  [][2]int
	have    []bool
	missing int
	peers   map[string]*feedPeer
	asks    map[int][]feedAsk
	drawing map[int]time.Time
	began   time.Time
	news    time.Time
	salt    uint64
}

type feedPeer struct {
	member Member
	have   []bool
	asked  int
	heard  bool
	came   time.Time
	rest   time.Time
}

type feedAsk struct {
	peer   string
	since  time.Time
	holder bool
}

// NewFeed returns a feed of a box that already holds the pieces in have.
func NewFeed(params FeedParams, self Member, order *Order, have []int, now time.Time) *Feed {
	f := &Feed{
		params: params.withDefaults(), self: self, have: make([]bool, order.chunks), missing: order.chunks,
		peers: make(map[string]*feedPeer), asks: make(map[int][]feedAsk), drawing: make(map[int]time.Time),
		began: now, news: now, salt: score(self.ID, 0, self.Site),
	}
	for _, piece := range have {
		f.hold(piece)
	}
	f.Reorder(order)
	return f
}

// Complete reports whether all pieces are held.
func (f *Feed) Complete() bool { return f.missing == 0 }

// Have returns the number of pieces held.
func (f *Feed) Have() int { return len(f.have) - f.missing }

// Holds reports whether a piece is held.
func (f *Feed) Holds(piece int) bool { return f.have[piece] }

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

// Reorder takes a new order after boxes came or went.
func (f *Feed) Reorder(order *Order) {
	f.order = order
	f.places = make([][2]int, order.Groups())
	for group := range f.places {
		all, site := order.Places(group, f.self)
		f.places[group] = [2]int{all, site}
	}
}

// Peer tells that a link to a box is up.
func (f *Feed) Peer(member Member) {
	if f.peers[member.ID] == nil {
		f.peers[member.ID] = &feedPeer{member: member, have: make([]bool, len(f.have))}
	}
}

// PeerGone tells that the link to a box has ended.
func (f *Feed) PeerGone(id string) {
	delete(f.peers, id)
	for piece, asks := range f.asks {
		f.setAsks(piece, slices.DeleteFunc(slices.Clone(asks), func(a feedAsk) bool { return a.peer == id }))
	}
}

// PeerHas tells which pieces a box holds, all of them when reset.
func (f *Feed) PeerHas(id string, reset bool, pieces []uint32) {
	p := f.peers[id]
	if p == nil {
		return
	}
	p.heard = true
	if reset {
		clear(p.have)
	}
	for _, piece := range pieces {
		if int(piece) < len(p.have) {
			p.have[piece] = true
		}
	}
}

// Lost says that a held piece turned out bad or gone.
func (f *Feed) Lost(piece int) {
	if f.have[piece] {
		f.have[piece] = false
		f.missing++
	}
}

// Got says that a piece came and was verified; from is empty when it was drawn. It returns the other boxes that were
// asked for it, which should be told.
func (f *Feed) Got(piece int, from string, now time.Time) []string {
	var others []string
	for _, a := range f.asks[piece] {
		if a.peer != from {
			others = append(others, a.peer)
		}
	}
	f.setAsks(piece, nil)
	delete(f.drawing, piece)
	f.news = now
	if p := f.peers[from]; p != nil {
		p.came = now
	}
	f.hold(piece)
	return others
}

// Failed says that a box will not give a piece now, or gave a bad one; it is not asked for a while.
func (f *Feed) Failed(piece int, from string, now time.Time) {
	f.setAsks(piece, slices.DeleteFunc(slices.Clone(f.asks[piece]), func(a feedAsk) bool { return a.peer == from }))
	if p := f.peers[from]; p != nil {
		p.have[piece] = false
		p.rest = now.Add(faultRest)
	}
}

// DrawFailed says that the origin did not give a piece.
func (f *Feed) DrawFailed(piece int) { delete(f.drawing, piece) }

// Next returns what to do now and marks it as being done.
func (f *Feed) Next(now time.Time) []Action {
	if f.Complete() {
		return nil
	}
	var actions []Action
	first := int(f.salt % uint64(len(f.have)))
	for i := range f.have {
		piece := (first + i) % len(f.have)
		if f.have[piece] || f.isDrawn(piece) || f.pending(piece, now) {
			continue
		}
		f.dropOld(piece, now)
		if action, ok := f.next(piece, now); ok {
			actions = append(actions, action)
		}
	}
	return actions
}

func (f *Feed) isDrawn(piece int) bool {
	_, drawn := f.drawing[piece]
	return drawn
}

// pending reports whether a piece is asked for and its coming is not overdue.
func (f *Feed) pending(piece int, now time.Time) bool {
	for _, a := range f.asks[piece] {
		if !f.overdue(a, now) {
			return true
		}
	}
	return false
}

// dropOld forgets asks that stood for too long, so that their boxes may be asked again.
func (f *Feed) dropOld(piece int, now time.Time) {
	f.setAsks(piece, slices.DeleteFunc(slices.Clone(f.asks[piece]), func(a feedAsk) bool { return now.Sub(a.since) > askLimit }))
}

func (f *Feed) overdue(a feedAsk, now time.Time) bool {
	p := f.peers[a.peer]
	if p == nil || now.Sub(a.since) > askLimit {
		return true
	}
	if a.holder {
		return now.Sub(later(a.since, p.came)) > f.params.HolderPatience
	}
	return now.Sub(later(a.since, f.news)) > f.params.Patience
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// next chooses the next source of a piece: a holder of the own site, the homes before this box, a holder elsewhere, the
// sources of this box's site, at last the origin.
func (f *Feed) next(piece int, now time.Time) (Action, bool) {
	group := f.order.Group(piece)
	all, site := f.places[group][0], f.places[group][1]
	if p := f.holder(piece, true, now); p != nil {
		return f.ask(piece, p, true, now), true
	}
	if home := f.home(piece, group, site, now); home != nil {
		return f.ask(piece, home, false, now), true
	}
	if f.greeting(now) {
		return Action{}, false
	}
	if p := f.holder(piece, false, now); p != nil {
		return f.ask(piece, p, true, now), true
	}
	if all == 0 {
		if now.Sub(f.began) < f.params.Greet+time.Duration(piece)*f.params.DrawEvery {
			return Action{}, false
		}
		return f.draw(piece, all, now)
	}
	for _, source := range f.order.Sources(group, f.self.Site) {
		if p := f.peers[source.ID]; p != nil && f.mayAsk(piece, p, now) {
			return f.ask(piece, p, false, now), true
		}
	}
	if all < 0 || now.Sub(f.news) < time.Duration(min(all, maxRankWaits))*f.params.DrawPatience {
		return Action{}, false
	}
	return f.draw(piece, all, now)
}

// greeting reports whether this box still waits to hear what others hold.
func (f *Feed) greeting(now time.Time) bool {
	return len(f.order.members) > 1 && now.Sub(f.began) < f.params.Greet
}

// home returns the first box before this one in the site's order that may be asked; nil when this box comes first.
func (f *Feed) home(piece, group, place int, now time.Time) *feedPeer {
	if place == 0 {
		return nil
	}
	for _, i := range f.order.ranked[group] {
		member := f.order.members[i]
		if member.ID == f.self.ID {
			return nil
		}
		if member.Site != f.self.Site {
			continue
		}
		if p := f.peers[member.ID]; p != nil && f.mayAsk(piece, p, now) {
			return p
		}
	}
	return nil
}

// holder returns the least asked of the boxes known to hold a piece, of the own site or of the others.
func (f *Feed) holder(piece int, near bool, now time.Time) *feedPeer {
	var best *feedPeer
	var bestTie uint64
	for _, p := range f.peers {
		if (p.member.Site == f.self.Site) != near || !p.have[piece] || !f.mayAsk(piece, p, now) {
			continue
		}
		tie := score(p.member.ID, f.salt+uint64(piece), "")
		if best == nil || p.asked < best.asked || p.asked == best.asked && tie < bestTie {
			best, bestTie = p, tie
		}
	}
	return best
}

func (f *Feed) mayAsk(piece int, p *feedPeer, now time.Time) bool {
	if now.Before(p.rest) {
		return false
	}
	return !slices.ContainsFunc(f.asks[piece], func(a feedAsk) bool { return a.peer == p.member.ID })
}

func (f *Feed) ask(piece int, p *feedPeer, holder bool, now time.Time) Action {
	for _, a := range f.asks[piece] {
		if late := f.peers[a.peer]; late != nil && a.holder {
			late.rest = now.Add(faultRest)
		}
	}
	f.asks[piece] = append(f.asks[piece], feedAsk{peer: p.member.ID, since: now, holder: holder})
	p.asked++
	return Action{Chunk: piece, Peer: p.member.ID}
}

func (f *Feed) draw(piece, rank int, now time.Time) (Action, bool) {
	if len(f.drawing) >= f.params.Draws {
		return Action{}, false
	}
	f.drawing[piece] = now
	return Action{Chunk: piece, Draw: true, Rank: rank}, true
}

func (f *Feed) setAsks(piece int, asks []feedAsk) {
	for _, a := range f.asks[piece] {
		if p := f.peers[a.peer]; p != nil {
			p.asked--
		}
	}
	if len(asks) == 0 {
		delete(f.asks, piece)
		return
	}
	for _, a := range asks {
		if p := f.peers[a.peer]; p != nil {
			p.asked++
		}
	}
	f.asks[piece] = asks
}

func (f *Feed) hold(piece int) {
	if !f.have[piece] {
		f.have[piece] = true
		f.missing--
	}
}
