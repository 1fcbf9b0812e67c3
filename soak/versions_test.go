package soak

import (
	"testing"
	"time"
)

// versionSeeds are the seeds of TestVersions that run in CI.
var versionSeeds = []uint64{1}

// TestVersions guards against servers that load a version with pieces of another one, while versions are named in quick succession, servers
// are empty or slow towards their boxes, and boxes are killed or paused.
func TestVersions(t *testing.T) {
	t.Parallel()
	eachSeed(t, "versions", versionSeeds, func(t *testing.T, opts Options) {
		opts.Versions, opts.FaultPeriod = true, 16*time.Second
		run(t, opts)
	})
}
