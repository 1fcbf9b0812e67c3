package soak

import (
	"testing"
	"time"
)

// deadlySeeds are the seeds of TestDeadlyRequests that run in CI.
var deadlySeeds = []uint64{1}

// TestDeadlyRequests guards against retries that carry a crashing request from server to server:
// it must be quarantined on all entries after three crashes.
func TestDeadlyRequests(t *testing.T) {
	eachSeed(t, "deadly", deadlySeeds, func(t *testing.T, opts Options) {
		opts.Entries, opts.Boxes, opts.Deadly, opts.FaultPeriod = 4, 12, 2, 15*time.Second
		run(t, opts)
	})
}

// TestDeadlyParts guards against prompts that share a crashing part going from server to server: the part must be quarantined on all entries
// after five crashes, and prompts that share other parts with it served.
func TestDeadlyParts(t *testing.T) {
	eachSeed(t, "deadly parts", deadlySeeds, func(t *testing.T, opts Options) {
		opts.Entries, opts.Boxes, opts.DeadlyParts, opts.FaultPeriod = 4, 12, 2, 15*time.Second
		run(t, opts)
	})
}
