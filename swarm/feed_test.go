package swarm

import (
	"slices"
	"testing"
	"time"
)

// The links of the tests: what a box's link and the origin's link take for a piece, and a message on its way.
const (
	pieceTime = 37 * time.Millisecond
	drawTime  = 26 * time.Millisecond
	newsTime  = 8 * time.Millisecond
	feedTick  = 2 * time.Millisecond
)

// feedWorld drives feeds in virtual time. Each box gives one piece after the other, those to other sites first, and takes
// one after the other; news of pieces, with how many asks wait at their sender, comes a little later.
type feedWorld struct {
	now     time.Time
	order   *Order
	feeds   map[string]*Feed
	dead    map[string]bool
	spoils  map[string]bool
	slow    map[string]time.Duration
	asks    map[string][]feedWant
	out, in map[string]time.Time
	events  []feedEvent
	// back is when the origin can be reached; crowd is the most draws that waited for its link at a time.
	back    time.Time
	crowd   time.Duration
	draws   int
	crossed int
	twice   int
}

// feedWant is a piece that a box asked for.
type feedWant struct {
	to    string
	piece int
	far   bool
	since time.Time
}

type feedEvent struct {
	at time.Time
	do func()
}

func newFeedWorld(members []Member, pieces int, have func(Member) []int) *feedWorld {
	w := &feedWorld{
		now: testStart, order: NewOrder("salt", pieces, members), feeds: make(map[string]*Feed),
		dead: make(map[string]bool), spoils: make(map[string]bool), slow: make(map[string]time.Duration),
		asks: make(map[string][]feedWant), out: make(map[string]time.Time), in: make(map[string]time.Time),
	}
	for _, member := range members {
		w.feeds[member.ID] = NewFeed(FeedParams{DrawEvery: drawTime}, member, w.order, have(member), w.now)
	}
	for _, member := range members {
		w.meet(member)
	}
	return w
}

// meet links a box with its partners and tells it what they hold.
func (w *feedWorld) meet(member Member) {
	for _, other := range w.order.Partners(member) {
		w.feeds[member.ID].Peer(other)
		w.feeds[member.ID].PeerHas(other.ID, true, w.feeds[other.ID].Held(), 0)
	}
}

func (w *feedWorld) after(d time.Duration, do func()) {
	w.events = append(w.events, feedEvent{w.now.Add(d), do})
}

func (w *feedWorld) step() {
	w.now = w.now.Add(feedTick)
	events := w.events
	w.events = nil
	for _, e := range events {
		if e.at.After(w.now) {
			w.events = append(w.events, e)
			continue
		}
		e.do()
	}
	for _, member := range w.order.members {
		if w.dead[member.ID] {
			continue
		}
		for _, action := range w.feeds[member.ID].Next(w.now) {
			w.act(member, action)
		}
	}
}

func (w *feedWorld) act(member Member, action Action) {
	switch {
	case action.Drop:
		w.asks[action.Peer] = slices.DeleteFunc(w.asks[action.Peer], func(a feedWant) bool {
			return a.to == member.ID && a.piece == action.Chunk
		})
	case action.Draw && w.now.Before(w.back):
		w.feeds[member.ID].DrawUnreached(action.Chunk, w.now)
	case action.Draw:
		w.draws++
		w.out["origin"] = later(w.now, w.out["origin"]).Add(drawTime)
		w.crowd = max(w.crowd, w.out["origin"].Sub(w.now))
		w.after(w.out["origin"].Sub(w.now), func() { w.arrive(member.ID, action.Chunk, "", 0) })
	case !w.dead[action.Peer]:
		want := feedWant{to: member.ID, piece: action.Chunk, far: w.site(action.Peer) != member.Site}
		w.after(newsTime, func() {
			want.since = w.now
			w.asks[action.Peer] = append(w.asks[action.Peer], want)
			w.give(action.Peer)
		})
	}
}

// give sends the next piece that was asked of a box, unless one is on its way out.
func (w *feedWorld) give(from string) {
	if w.out[from].After(w.now) || len(w.asks[from]) == 0 || w.dead[from] {
		return
	}
	i := max(slices.IndexFunc(w.asks[from], func(a feedWant) bool { return a.far }), 0)
	a := w.asks[from][i]
	w.asks[from] = slices.Delete(w.asks[from], i, i+1)
	takes := max(pieceTime, w.slow[from], w.slow[a.to])
	w.out[from] = w.now.Add(max(pieceTime, w.slow[from]))
	w.in[a.to] = later(w.now, w.in[a.to]).Add(takes)
	waited := w.now.Sub(a.since)
	w.after(w.out[from].Sub(w.now), func() { w.give(from) })
	w.after(w.in[a.to].Sub(w.now), func() { w.arrive(a.to, a.piece, from, waited) })
}

func (w *feedWorld) arrive(to string, piece int, from string, waited time.Duration) {
	f := w.feeds[to]
	switch {
	case w.dead[to]:
		return
	case w.spoils[from]:
		f.Failed(piece, from, w.now)
		return
	case f.Holds(piece):
		w.twice++
		return
	case from != "" && w.site(from) != f.self.Site:
		w.crossed++
	}
	f.Got(piece, from, waited, w.now)
	pieces := []uint32{uint32(piece)}
	if f.Complete() {
		pieces = f.Held()
	}
	queue := len(w.asks[to])
	for _, other := range w.order.members {
		if other.ID != to && (other.Site == f.self.Site || f.Drawer(piece) || from == "" || f.Complete()) {
			w.after(newsTime, func() { w.feeds[other.ID].PeerHas(to, false, pieces, queue) })
		}
	}
}

func (w *feedWorld) site(id string) string {
	for _, member := range w.order.members {
		if member.ID == id {
			return member.Site
		}
	}
	return ""
}

// run steps until all boxes that live hold all pieces, and returns how long that took.
func (w *feedWorld) run(t *testing.T, limit time.Duration) time.Duration {
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

func nothing(Member) []int { return nil }

// everything is all pieces.
func everything() []int {
	pieces := make([]int, feedPieces)
	for i := range pieces {
		pieces[i] = i
	}
	return pieces
}

// feedTest is boxes at the start, what disturbs them, and the most that the spreading may cost.
type feedTest struct {
	boxes, sites int
	have         func(Member) []int
	harm         func(w *feedWorld)
	limit        time.Duration
	draws        int
	crossed      int
}

// feedTests are the ways in which boxes may start and be disturbed.
var feedTests = map[string]feedTest{
	"all empty, undisturbed": {
		boxes: 20, sites: 3, have: nothing, limit: 3600 * time.Millisecond, draws: feedPieces, crossed: 2*feedPieces + 16,
	},
	"many boxes, undisturbed": {
		boxes: 76, sites: 3, have: nothing, limit: 4 * time.Second, draws: feedPieces + 2, crossed: 2*feedPieces + 16,
	},
	"one site": {boxes: 5, sites: 1, have: nothing, limit: 4 * time.Second, draws: feedPieces},
	"one box alone": {
		boxes: 1, sites: 1, have: nothing, limit: 3 * time.Second, draws: feedPieces,
	},
	"eight new among twelve that hold all draw nothing": {
		boxes: 20, sites: 3, limit: 4 * time.Second,
		have: func(m Member) []int {
			if m.ID < "b012" {
				return everything()
			}
			return nil
		},
	},
	"two boxes die unseen": {
		boxes: 20, sites: 3, have: nothing, limit: 9 * time.Second, draws: 2 * feedPieces, crossed: 4 * feedPieces,
		harm: func(w *feedWorld) { w.dead["b003"], w.dead["b007"] = true, true },
	},
	"a giver of spoilt pieces": {
		boxes: 12, sites: 3, have: nothing, limit: 9 * time.Second, draws: 2 * feedPieces, crossed: 5 * feedPieces,
		harm: func(w *feedWorld) { w.spoils["b002"] = true },
	},
	"two boxes on squeezed links": {
		boxes: 12, sites: 3, have: nothing, limit: 40 * time.Second, draws: 2 * feedPieces, crossed: 5 * feedPieces,
		harm: func(w *feedWorld) {
			w.slow["b001"], w.slow["b005"] = 270*time.Millisecond, 270*time.Millisecond
		},
	},
}

func TestFeedSpreads(t *testing.T) {
	for name, test := range feedTests {
		t.Run(name, func(t *testing.T) {
			w := newFeedWorld(testMembers(test.boxes, test.sites), feedPieces, test.have)
			if test.harm != nil {
				test.harm(w)
			}
			took := w.run(t, test.limit)
			t.Logf("%s, %d drawn, %d crossed, %d twice", took, w.draws, w.crossed, w.twice)
			if w.draws > test.draws {
				t.Errorf("%d pieces drawn, want at most %d", w.draws, test.draws)
			}
			if w.crossed > test.crossed {
				t.Errorf("%d pieces crossed between sites, want at most %d", w.crossed, test.crossed)
			}
		})
	}
}

func TestFeedFetchesLostPiecesAgain(t *testing.T) {
	w := newFeedWorld(testMembers(6, 2), feedPieces, nothing)
	w.run(t, 6*time.Second)
	drawn := w.draws
	w.feeds["b002"].Lost(7)
	if w.feeds["b002"].Complete() {
		t.Fatal("a lost piece is still held")
	}
	w.run(t, 12*time.Second)
	if w.draws != drawn {
		t.Errorf("%d pieces drawn again though others hold them", w.draws-drawn)
	}
}

func TestFeedAsksLittleOnAJammedLink(t *testing.T) {
	members := testMembers(6, 1)
	f := NewFeed(FeedParams{}, members[0], NewOrder("salt", feedPieces, members), nil, testStart)
	for _, member := range members[1:] {
		f.Peer(member)
		f.PeerHas(member.ID, true, toPieces(everything()), 0)
	}
	now, asked := testStart, 0
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		for _, action := range f.Next(now) {
			if !action.Drop && !action.Draw {
				asked++
			}
		}
	}
	if asked > 8 {
		t.Errorf("%d pieces asked for in 4 s in which none came, want at most 8", asked)
	}
}

func toPieces(of []int) []uint32 {
	pieces := make([]uint32, len(of))
	for i, piece := range of {
		pieces[i] = uint32(piece)
	}
	return pieces
}

func TestPartners(t *testing.T) {
	members := testMembers(90, 3)
	order := NewOrder("salt", feedPieces, members)
	for _, self := range members {
		partners := order.Partners(self)
		if len(partners) > MaxPartners {
			t.Fatalf("%s opens %d links", self.ID, len(partners))
		}
		known := map[string]bool{}
		for _, partner := range partners {
			known[partner.ID] = true
		}
		for group := range order.Groups() {
			if _, site := order.Places(group, self); site != 0 {
				continue
			}
			for _, source := range order.Sources(group, self.Site) {
				if !known[source.ID] {
					t.Errorf("%s takes group %d across and has no link to its source %s", self.ID, group, source.ID)
				}
			}
		}
	}
}

func TestFeedDrawsInTurnOnceTheOriginIsBack(t *testing.T) {
	const away = 3 * time.Second
	w := newFeedWorld(testMembers(76, 3), feedPieces, nothing)
	w.back = testStart.Add(away)
	took := w.run(t, away+4500*time.Millisecond)
	t.Logf("%s, %d drawn, %s at the origin at most", took, w.draws, w.crowd)
	if w.draws > feedPieces+feedPieces/4 {
		t.Errorf("%d pieces drawn, want about %d", w.draws, feedPieces)
	}
	if w.crowd > 12*drawTime {
		t.Errorf("%s of pieces asked of the origin at a time", w.crowd)
	}
}

// TestFeedLeavesASqueezedLinkRoom proves that what a box asks for does not stand on its link for seconds before requests, once
// what was on its way when the link narrowed has come.
func TestFeedLeavesASqueezedLinkRoom(t *testing.T) {
	const squeezed, settled = time.Second, 4 * time.Second
	w := newFeedWorld(testMembers(20, 3), feedPieces, nothing)
	jam := time.Duration(0)
	for w.now.Sub(testStart) < 12*time.Second {
		if w.now.Sub(testStart) >= squeezed {
			w.slow["b003"] = 276 * time.Millisecond
		}
		w.step()
		if w.now.Sub(testStart) > settled {
			jam = max(jam, w.in["b003"].Sub(w.now))
		}
	}
	t.Logf("%s before a request at most, %d twice, %d held", jam, w.twice, w.feeds["b003"].Have())
	if jam > 900*time.Millisecond {
		t.Errorf("%s of pieces stand before a request", jam)
	}
}
