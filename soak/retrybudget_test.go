package soak

import (
	"testing"
	"time"
)

// failingSeeds are the seeds of TestRestartedEntriesKeepTheRetryBudget that run in CI.
var failingSeeds = []uint64{1, 2}

// firstLargeSeed is the first seed of runs with as many processes as a machine bears; these are started by hand.
const firstLargeSeed = 1000

// TestRestartedEntriesKeepTheRetryBudget guards against entries that use the retry budget again after a restart.
func TestRestartedEntriesKeepTheRetryBudget(t *testing.T) {
	t.Parallel()
	eachSeed(t, "failing", failingSeeds, func(t *testing.T, opts Options) {
		opts.Entries, opts.Boxes, opts.Callers, opts.FaultPeriod, opts.FailingServers = 4, 12, 8, 12*time.Second, true
		if opts.Seed >= firstLargeSeed {
			opts.Entries, opts.Boxes, opts.Callers = 40, 60, 40
		}
		result := run(t, opts)
		t.Logf("%.2f of the retry budget used", result.BudgetUse)
	})
}
