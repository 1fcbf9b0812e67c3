package soak

import "testing"

// rankSeeds are the seeds of TestRanks that run in CI.
var rankSeeds = []uint64{1, 2}

// TestRanks checks that while a team floods the least urgent route, the most urgent one is served and neither starves.
func TestRanks(t *testing.T) {
	eachSeed(t, "ranks", rankSeeds, func(t *testing.T, opts Options) {
		opts.Ranks = true
		t.Log(run(t, opts).RankShares)
	})
}
