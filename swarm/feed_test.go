package swarm

import (
	"testing"
	"time"
)

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
	"hundreds of boxes, undisturbed": {
		boxes: 204, sites: 5, have: nothing, limit: 3600 * time.Millisecond, draws: feedPieces + 2, crossed: 4*feedPieces + 32,
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
		f.PeerHas(member.ID, true, toPieces(everything()), 0, testStart)
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
