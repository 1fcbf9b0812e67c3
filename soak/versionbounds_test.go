package soak

import (
	"testing"
	"time"
)

// versionBoundSeeds are the seeds of TestVersionBounds that run in CI.
var versionBoundSeeds = []uint64{1, 2}

// TestVersionBounds guards against requests that begin on a version after its bound, while daemons that know when versions were named
// restart, alone or together, stand still or learn late.
func TestVersionBounds(t *testing.T) {
	t.Parallel()
	eachSeed(t, "versionbounds", versionBoundSeeds, func(t *testing.T, opts Options) {
		opts.VersionBounds, opts.FaultPeriod = true, 20*time.Second
		run(t, opts)
	})
}
