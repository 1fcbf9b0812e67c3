package soak

import "testing"

// siteSeeds are the seeds of TestSites that run in CI.
var siteSeeds = []uint64{1, 2}

// TestSites checks the invariants while zones are evacuated, servers turn cold or return together, requests have homes and some callers
// read slowly, beside all other faults.
func TestSites(t *testing.T) {
	eachSeed(t, "sites", siteSeeds, func(t *testing.T, opts Options) {
		opts.Sites = true
		run(t, opts)
	})
}
