package swarm

import (
	"testing"
	"time"
)

// feedTest is a rollout with its disturbances and limits.
type feedTest struct {
	boxes, sites int
	have         func(Member) []int
	disturb      func(w *feedSim)
	limit        time.Duration
	maxDownloads int
	maxCrossings int
}

var feedTests = map[string]feedTest{
	"all empty, undisturbed": {
		boxes: 20, sites: 3, have: holdsNone, limit: 3600 * time.Millisecond, maxDownloads: feedPieces, maxCrossings: 2*feedPieces + 16,
	},
	"many boxes, undisturbed": {
		boxes: 76, sites: 3, have: holdsNone, limit: 4 * time.Second, maxDownloads: feedPieces + 2, maxCrossings: 2*feedPieces + 16,
	},
	"hundreds of boxes, undisturbed": {
		boxes: 204, sites: 5, have: holdsNone, limit: 3600 * time.Millisecond, maxDownloads: feedPieces + 2, maxCrossings: 4*feedPieces + 32,
	},
	"one site": {boxes: 5, sites: 1, have: holdsNone, limit: 4 * time.Second, maxDownloads: feedPieces},
	"one box alone": {
		boxes: 1, sites: 1, have: holdsNone, limit: 3 * time.Second, maxDownloads: feedPieces,
	},
	"eight new among twelve complete boxes download nothing": {
		boxes: 20, sites: 3, limit: 4 * time.Second,
		have: func(m Member) []int {
			if m.ID < "b012" {
				return allPieces()
			}
			return nil
		},
	},
	"two boxes die unseen": {
		boxes: 20, sites: 3, have: holdsNone, limit: 9 * time.Second, maxDownloads: 2 * feedPieces, maxCrossings: 4 * feedPieces,
		disturb: func(w *feedSim) { w.dead["b003"], w.dead["b007"] = true, true },
	},
	"a peer that sends corrupt pieces": {
		boxes: 12, sites: 3, have: holdsNone, limit: 9 * time.Second, maxDownloads: 2 * feedPieces, maxCrossings: 5 * feedPieces,
		disturb: func(w *feedSim) { w.corrupts["b002"] = true },
	},
	"two boxes on squeezed links": {
		boxes: 12, sites: 3, have: holdsNone, limit: 40 * time.Second, maxDownloads: 2 * feedPieces, maxCrossings: 5 * feedPieces,
		disturb: func(w *feedSim) {
			w.slow["b001"], w.slow["b005"] = 270*time.Millisecond, 270*time.Millisecond
		},
	},
}

func TestFeedSpreads(t *testing.T) {
	for name, test := range feedTests {
		t.Run(name, func(t *testing.T) {
			w := newFeedSim(testMembers(test.boxes, test.sites), feedPieces, test.have)
			if test.disturb != nil {
				test.disturb(w)
			}
			took := w.run(t, test.limit)
			t.Logf("%s, %d downloaded, %d crossed sites, %d duplicates", took, w.downloads, w.crossings, w.duplicates)
			if w.downloads > test.maxDownloads {
				t.Errorf("%d pieces downloaded, want at most %d", w.downloads, test.maxDownloads)
			}
			if w.crossings > test.maxCrossings {
				t.Errorf("%d pieces crossed between sites, want at most %d", w.crossings, test.maxCrossings)
			}
		})
	}
}

func TestFeedFetchesLostPiecesAgain(t *testing.T) {
	w := newFeedSim(testMembers(6, 2), feedPieces, holdsNone)
	w.run(t, 6*time.Second)
	before := w.downloads
	w.feeds["b002"].PieceLost(7)
	if w.feeds["b002"].Complete() {
		t.Fatal("a lost piece is still held")
	}
	w.run(t, 12*time.Second)
	if w.downloads != before {
		t.Errorf("%d pieces downloaded again though others hold them", w.downloads-before)
	}
}

func TestFeedAsksLittleOnAJammedLink(t *testing.T) {
	members := testMembers(6, 1)
	f := NewFeed(FeedParams{}, members[0], NewOrder("salt", feedPieces, members), nil, testStart)
	for _, member := range members[1:] {
		f.Peer(member)
		f.PeerHas(member.ID, true, toPieces(allPieces()), 0, testStart)
	}
	now, requests := testStart, 0
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		for _, action := range f.Next(now) {
			if !action.Cancel && !action.Download {
				requests++
			}
		}
	}
	if requests > 8 {
		t.Errorf("%d pieces requested in 4 s without any response, want at most 8", requests)
	}
}

func TestFeedDrawsInTurnOnceTheOriginIsBack(t *testing.T) {
	const outage = 3 * time.Second
	w := newFeedSim(testMembers(76, 3), feedPieces, holdsNone)
	w.originUpAt = testStart.Add(outage)
	took := w.run(t, outage+4500*time.Millisecond)
	t.Logf("%s, %d downloaded, origin queue at most %s", took, w.downloads, w.maxOriginQueue)
	if w.downloads > feedPieces+feedPieces/4 {
		t.Errorf("%d pieces downloaded, want about %d", w.downloads, feedPieces)
	}
	if w.maxOriginQueue > 12*originTime {
		t.Errorf("origin queue reached %s", w.maxOriginQueue)
	}
}

// TestFeedLeavesASqueezedLinkRoom checks that on a link that becomes slow, pieces do not queue long ahead of callers' requests.
func TestFeedLeavesASqueezedLinkRoom(t *testing.T) {
	const slowFrom, settled = time.Second, 4 * time.Second
	w := newFeedSim(testMembers(20, 3), feedPieces, holdsNone)
	queue := time.Duration(0)
	for w.now.Sub(testStart) < 12*time.Second {
		if w.now.Sub(testStart) >= slowFrom {
			w.slow["b003"] = 276 * time.Millisecond
		}
		w.step()
		if w.now.Sub(testStart) > settled {
			queue = max(queue, w.downlinkBusyUntil["b003"].Sub(w.now))
		}
	}
	t.Logf("queue at most %s, %d duplicates, %d held", queue, w.duplicates, w.feeds["b003"].Have())
	if queue > 900*time.Millisecond {
		t.Errorf("pieces queued for %s before a request", queue)
	}
}
