package soak

import "testing"

// crowdSeeds are the seeds of TestCrowds that run in CI.
var crowdSeeds = []uint64{1}

// TestCrowds checks the invariants, and the memory of the daemons, while clients that do not keep to the limits hold connections to all
// listeners, beside all other faults.
func TestCrowds(t *testing.T) {
	eachSeed(t, "crowds", crowdSeeds, func(t *testing.T, opts Options) {
		opts.Crowds = true
		run(t, opts)
	})
}
