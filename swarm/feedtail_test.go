package swarm

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

// seedsVariable is an environment variable that overrides defaultSeeds.
const (
	seedsVariable = "CORALSTAIR_TAIL_SEEDS"
	defaultSeeds  = 25
)

// spareTime is the time to replace three failed downloaders, beyond the version's time on the origin's link.
const spareTime = 900 * time.Millisecond

// TestFeedIsDrawnWholeBeforeTheOriginGoes checks that a version is downloaded completely although three of 20 boxes die, freeze
// or send corrupt pieces at random times, before the origin becomes unreachable for good.
func TestFeedIsDrawnWholeBeforeTheOriginGoes(t *testing.T) {
	seeds := defaultSeeds
	if text := os.Getenv(seedsVariable); text != "" {
		var err error
		if seeds, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	incomplete, downloads := 0, 0
	for seed := range seeds {
		w := simulateTail(uint64(seed))
		downloads += w.downloads
		if missing := w.lostPieces(); missing > 0 {
			incomplete++
			t.Logf("seed %d: %d pieces were never downloaded", seed, missing)
		}
	}
	t.Logf("%d of %d incomplete, %.2f copies downloaded", incomplete, seeds, float64(downloads)/float64(seeds*feedPieces))
	if incomplete > 0 {
		t.Errorf("%d of %d versions stayed incomplete", incomplete, seeds)
	}
	if downloads > seeds*feedPieces*3/2 {
		t.Errorf("%.2f copies downloaded per version, want at most 1.5", float64(downloads)/float64(seeds*feedPieces))
	}
}

// simulateTail simulates a rollout to 20 boxes, three of which fail, until a second after the origin becomes unreachable.
func simulateTail(seed uint64) *feedSim {
	r := rand.New(rand.NewPCG(seed, 1))
	w := newFeedSim(testMembers(20, 3), feedPieces, holdsNone)
	w.originDownAt = testStart.Add(DefaultStartDelay + feedPieces*originTime + spareTime + time.Duration(r.Int64N(int64(time.Second))))
	failing := r.Perm(20)[:3]
	for _, i := range failing {
		id := w.order.members[i].ID
		at := time.Duration(r.Int64N(int64(feedPieces * originTime)))
		switch r.IntN(3) {
		case 0:
			w.after(at, func() { w.dead[id] = true })
		case 1:
			w.after(at, func() { w.dead[id] = true })
			w.after(at+4*time.Second, func() { w.dead[id] = false })
		default:
			w.after(at, func() { w.corrupts[id] = true })
		}
	}
	for w.now.Before(w.originDownAt.Add(time.Second)) {
		w.step()
	}
	return w
}

// lostPieces returns how many pieces no healthy box holds.
func (w *feedSim) lostPieces() int {
	missing := 0
	for piece := range feedPieces {
		held := false
		for id, f := range w.feeds {
			held = held || !w.dead[id] && !w.corrupts[id] && f.Holds(piece)
		}
		if !held {
			missing++
		}
	}
	return missing
}
