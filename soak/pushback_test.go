package soak

import (
	"testing"
	"time"
)

// Seeds that run in CI.
var (
	limitsSeeds  = []uint64{1, 2}
	leavingSeeds = []uint64{1}
	restsSeeds   = []uint64{1}
)

// TestLimits guards against entries that ignore a rate limit in response headers, or each use all of it.
func TestLimits(t *testing.T) {
	t.Parallel()
	eachSeed(t, "limits", limitsSeeds, func(t *testing.T, opts Options) { runPushback(t, opts, pushbackLimits) })
}

// TestLeavingServers guards against requests to a server that announced its leave in a response header
// while the store, and so its list entry, is out of date.
func TestLeavingServers(t *testing.T) {
	t.Parallel()
	eachSeed(t, "leaving", leavingSeeds, func(t *testing.T, opts Options) { runPushback(t, opts, pushbackLeaving) })
}

// TestRests guards against entries that prefer a server which refuses requests because it looks idle,
// and so exhaust the retry budget.
func TestRests(t *testing.T) {
	t.Parallel()
	eachSeed(t, "rests", restsSeeds, func(t *testing.T, opts Options) { runPushback(t, opts, pushbackPauses) })
}

func runPushback(t *testing.T, opts Options, kind pushback) {
	opts.Entries, opts.Boxes, opts.Callers, opts.FaultPeriod, opts.pushback = 4, 12, 32, 16*time.Second, kind
	result := run(t, opts)
	t.Logf("%.2f of the rate limits used", result.LimitUse)
}
