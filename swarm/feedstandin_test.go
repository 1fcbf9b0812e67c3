package swarm

import (
	"testing"
	"time"
)

// standInTest is the end of a downloader in the middle of the schedule.
type standInTest struct {
	// seen says that links to the downloader break; back is how long until it runs again, 0 for never.
	seen bool
	back time.Duration
	// late bounds how long after the schedule's end the last piece is held by some box.
	late time.Duration
}

var standInTests = map[string]standInTest{
	"links break": {seen: true, late: 3 * originTime},
	// Without a sign a stand-in waits for what a piece may lag before the first one is known.
	"nothing shows":              {late: initialLag + 3*originTime},
	"links break, back soon":     {seen: true, back: 400 * time.Millisecond, late: 3 * originTime},
	"back at the schedule's end": {seen: true, back: time.Second, late: 3 * originTime},
}

// TestStandInsFollowAtThePaceOfTheOrigin checks that the pieces of a box that ends are downloaded by the schedule's end.
func TestStandInsFollowAtThePaceOfTheOrigin(t *testing.T) {
	for name, test := range standInTests {
		t.Run(name, func(t *testing.T) {
			for _, n := range []int{20, 76} {
				members := testMembers(n, 3)
				order := NewOrder("salt", feedPieces, members)
				for _, victim := range []int{20, 40, 50, 60, 63} {
					w := newFeedSim(members, feedPieces, holdsNone)
					id := order.members[order.ranked[order.Group(victim)][0]].ID
					w.after(DefaultStartDelay+feedPieces/4*originTime, func() { w.kill(id, test) })
					over := w.lastPieceHeld(t) - DefaultStartDelay - feedPieces*originTime
					t.Logf("%d boxes, piece %d: last piece %s after the schedule's end, %d downloaded", n, victim, over, w.downloads)
					if over > test.late {
						t.Errorf("the last piece came %s after the schedule's end, want at most %s", over, test.late)
					}
					if w.downloads > feedPieces*6/5 {
						t.Errorf("%d pieces downloaded, want at most %d", w.downloads, feedPieces*6/5)
					}
				}
			}
		})
	}
}

// lastPieceHeld steps until each piece is held by a box that runs, and returns how long that took.
func (w *feedSim) lastPieceHeld(t *testing.T) time.Duration {
	t.Helper()
	for w.now.Sub(testStart) < 10*time.Second {
		w.step()
		if w.lostPieces() == 0 {
			return w.now.Sub(testStart)
		}
	}
	t.Fatal("some piece was never held")
	return 0
}

// kill ends a box, and starts it again with the pieces that it held.
func (w *feedSim) kill(id string, test standInTest) {
	w.dead[id] = true
	w.requests[id] = nil
	if test.seen {
		w.after(announceTime, func() {
			for _, f := range w.feeds {
				f.PeerGone(id)
			}
		})
	}
	if test.back == 0 {
		return
	}
	w.after(test.back, func() {
		old := w.feeds[id]
		var held []int
		for _, piece := range old.Held() {
			held = append(held, int(piece))
		}
		w.dead[id] = false
		w.feeds[id] = NewFeed(FeedParams{DownloadInterval: originTime}, old.self, w.order, held, w.now)
		w.after(2*announceTime, func() {
			w.link(old.self)
			for _, member := range w.order.members {
				if w.feeds[member.ID].gone[id] {
					w.feeds[member.ID].Peer(old.self)
					w.feeds[member.ID].PeerHas(id, true, w.feeds[id].Held(), 0, w.now)
				}
			}
		})
	})
}

// TestBackupsLeaveTheOriginToTheFleet checks that a box whose linked boxes fetch another version downloads its own pieces only.
func TestBackupsLeaveTheOriginToTheFleet(t *testing.T) {
	members := testMembers(20, 3)
	for name, takingPart := range map[string]int{"none takes part": 0, "few take part": 4, "all take part": 19} {
		t.Run(name, func(t *testing.T) {
			f := NewFeed(FeedParams{DownloadInterval: originTime}, members[0], NewOrder("salt", feedPieces, members), nil, testStart)
			for i, member := range members[1:] {
				f.Peer(member)
				if i < takingPart {
					f.PeerHas(member.ID, true, nil, 0, testStart)
				}
			}
			own, others := 0, 0
			for now := testStart; now.Before(testStart.Add(10 * time.Second)); now = now.Add(simTick) {
				for _, action := range f.Next(now) {
					if action.Rank == 0 {
						own++
					} else {
						others++
					}
					f.Received(action.Chunk, "", 0, now)
				}
			}
			if own == 0 {
				t.Error("it downloaded nothing of its own")
			}
			if stoodIn := takingPart == 19; stoodIn != (others > 0) {
				t.Errorf("it downloaded %d pieces of others", others)
			}
		})
	}
}

// TestScheduleStartsWithTheFleet checks that pieces of a few boxes that ran ahead do not make all others download at once.
func TestScheduleStartsWithTheFleet(t *testing.T) {
	w := newFeedSim(testMembers(76, 3), feedPieces, func(m Member) []int {
		if m.ID < "b004" {
			return []int{3, 9, 14, 22, 31, 40, 47, 52, 58, 63}
		}
		return nil
	})
	w.run(t, 4*time.Second)
	t.Logf("%d downloaded, origin queue at most %s", w.downloads, w.maxOriginQueue)
	if w.downloads > feedPieces || w.maxOriginQueue > 8*originTime {
		t.Errorf("%d pieces downloaded, origin queue reached %s", w.downloads, w.maxOriginQueue)
	}
}
