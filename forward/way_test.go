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

func TestHeldByTheWay(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		way         way
		least, most time.Duration
	}{
		"not measured":             {way{}, 0, 0},
		"quick":                    {way{}.with(30*time.Millisecond, now), 0, 0},
		"slow":                     {way{}.with(700*time.Millisecond, now), 700 * time.Millisecond, 700 * time.Millisecond},
		"slow, but long ago":       {way{}.with(700*time.Millisecond, now.Add(-time.Minute)), 0, 0},
		"quick, and now held":      {way{at: now, n: 1, asked: now.Add(-2 * time.Second)}, 2 * time.Second, 2 * time.Second},
		"held since the beginning": {way{asked: now.Add(-3 * time.Second)}, 3 * time.Second, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			if got := test.way.held(now); got < test.least || got > test.most {
				t.Errorf("held for %s, want %s to %s", got, test.least, test.most)
			}
		})
	}
}

func TestAJammedServerGetsNothingNearTheBound(t *testing.T) {
	w := newEngineWorld(t, "127.0.0.1:1")
	w.entry.cfg.View.OfferTarget(contract.Target{Model: engineModel, Version: 2}, 0)
	due, _ := w.entry.cfg.View.Due(engineModel, 1)
	up := w.entry.upstreams.byServer(serverName(0))
	now := due.Add(-3200 * time.Millisecond)
	want := wanted{service: w.entry.cfg.View.Config().Service("s"), model: engineModel, prompt: 100}
	up.reportAt = now
	if _, ok := w.entry.choose(want, now); !ok {
		t.Fatal("a server gets nothing 3.2 s before the bound")
	}
	up.way.asked = now.Add(-time.Second)
	if _, ok := w.entry.choose(want, now); ok {
		t.Error("a server to which the way is held up for a second gets a request 3.2 s before the bound")
	}
}
