package forward

import (
	"testing"
	"time"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/machine"
)

// TestBoundsChangeAtRunTime checks that changed bounds are in force at once, but for those that are fixed at the start.
func TestBoundsChangeAtRunTime(t *testing.T) {
	w := newTestEnv(t, false, "127.0.0.1:1")
	w.entry.budget.CountRequest("s", clock.Now())
	before := w.entry.budget.Usage("s", clock.Now()).Allowed
	w.entry.SetBounds(machine.Bounds{Grace: time.Minute, Drain: time.Second, RetryRatio: 0.2, RetrySlack: 10, RetryWindow: time.Hour})
	if got := w.entry.bounds(); got.Grace != time.Minute || got.Drain != time.Second || got.RetryWindow != 10*time.Second {
		t.Errorf("bounds %+v", got)
	}
	if after := w.entry.budget.Usage("s", clock.Now()).Allowed; after >= before/5 {
		t.Errorf("%.1f retries are allowed after the slack fell to a tenth, before %.1f", after, before)
	}
}
