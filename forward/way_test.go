package forward

import (
	"testing"
	"time"

	"github.com/coralstair/coralstair/contract"
)

func TestMarginFollowsTheWay(t *testing.T) {
	ways := func(ago time.Duration, took ...time.Duration) func(now time.Time) way {
		return func(now time.Time) way {
			w := way{}
			for _, one := range took {
				w = w.with(one*time.Millisecond, now.Add(-ago))
			}
			return w
		}
	}
	for name, test := range map[string]struct {
		filled  bool
		way     func(now time.Time) way
		overdue bool
	}{
		"filled":                           {true, ways(0), false},
		"not filled, the way not measured": {false, ways(0), true},
		"a quick way":                      {false, ways(0, 20, 30), false},
		"one that was slow a moment ago":   {false, ways(0, 300, 20, 20), true},
		"one that was slow long ago":       {false, ways(0, 300, 20, 20, 20, 20, 20, 20, 20), false},
		"measured long ago":                {false, ways(time.Minute, 20), true},
		"one that has not come back": {false, func(now time.Time) way {
			w := ways(0, 20)(now)
			w.asked = now.Add(-time.Second)
			return w
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newEngineWorld(t, "127.0.0.1:1")
			w.entry.cfg.View.OfferTarget(contract.Target{Model: engineModel, Version: 2}, 0)
			due, _ := w.entry.cfg.View.Due(engineModel, 1)
			up := w.entry.upstreams.byServer(serverName(0))
			now := due.Add(-1500 * time.Millisecond)
			up.reportAt, up.report.Filled, up.way = now, test.filled, test.way(now)
			if got := w.entry.overdue(up, engineModel, choice{version: 1}, now); got != test.overdue {
				t.Errorf("overdue %t, want %t", got, test.overdue)
			}
		})
	}
}
