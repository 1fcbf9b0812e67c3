package forward

import (
	"testing"
	"time"

	"github.com/coralstair/coralstair/contract"
)

func TestMarginFollowsTheWay(t *testing.T) {
	window := func(ago time.Duration, samples ...time.Duration) func(now time.Time) rttWindow {
		return func(now time.Time) rttWindow {
			w := rttWindow{}
			for _, sample := range samples {
				w = w.withSample(sample*time.Millisecond, now.Add(-ago))
			}
			return w
		}
	}
	for name, test := range map[string]struct {
		filled  bool
		rtt     func(now time.Time) rttWindow
		overdue bool
	}{
		"all pieces held":              {true, window(0), false},
		"pieces missing, not measured": {false, window(0), true},
		"low RTT":                      {false, window(0, 20, 30), false},
		"recent high RTT":              {false, window(0, 300, 20, 20), true},
		"older high RTT":               {false, window(0, 300, 20, 20, 20, 20, 20, 20, 20), false},
		"expired samples":              {false, window(time.Minute, 20), true},
		"overdue probe": {false, func(now time.Time) rttWindow {
			w := window(0, 20)(now)
			w.probeSentAt = now.Add(-time.Second)
			return w
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newModelTestEnv(t, "127.0.0.1:1")
			w.entry.cfg.View.ObservePeerTarget(contract.Target{Model: testModel, Version: 2}, 0)
			due, _ := w.entry.cfg.View.VersionDeadline(testModel, 1)
			up := w.entry.upstreams.byServer(serverName(0))
			now := due.Add(-1500 * time.Millisecond)
			up.reportAt, up.report.HasAllPieces, up.rtt = now, test.filled, test.rtt(now)
			if got := w.entry.missesVersionDeadline(up, testModel, choice{version: 1}, now); got != test.overdue {
				t.Errorf("overdue %t, want %t", got, test.overdue)
			}
		})
	}
}

func TestRTTDelay(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		rtt      rttWindow
		min, max time.Duration
	}{
		"not measured":           {rttWindow{}, 0, 0},
		"low RTT":                {rttWindow{}.withSample(30*time.Millisecond, now), 0, 0},
		"high RTT":               {rttWindow{}.withSample(700*time.Millisecond, now), 700 * time.Millisecond, 700 * time.Millisecond},
		"high RTT, expired":      {rttWindow{}.withSample(700*time.Millisecond, now.Add(-time.Minute)), 0, 0},
		"low RTT, probe overdue": {rttWindow{sampledAt: now, count: 1, probeSentAt: now.Add(-2 * time.Second)}, 2 * time.Second, 2 * time.Second},
		"first probe overdue":    {rttWindow{probeSentAt: now.Add(-3 * time.Second)}, 3 * time.Second, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			if got := test.rtt.delay(now); got < test.min || got > test.max {
				t.Errorf("delay %s, want %s to %s", got, test.min, test.max)
			}
		})
	}
}

func TestCongestedServerGetsNoRequestNearDeadline(t *testing.T) {
	w := newModelTestEnv(t, "127.0.0.1:1")
	w.entry.cfg.View.ObservePeerTarget(contract.Target{Model: testModel, Version: 2}, 0)
	due, _ := w.entry.cfg.View.VersionDeadline(testModel, 1)
	up := w.entry.upstreams.byServer(serverName(0))
	now := due.Add(-3200 * time.Millisecond)
	want := requirements{service: w.entry.cfg.View.Config().Service("s"), model: testModel, promptTokens: 100}
	up.reportAt = now
	if _, ok := w.entry.choose(want, now); !ok {
		t.Fatal("no server chosen 3.2 s before the deadline")
	}
	up.rtt.probeSentAt = now.Add(-time.Second)
	if _, ok := w.entry.choose(want, now); ok {
		t.Error("server behind a link delayed by 1 s chosen 3.2 s before the deadline")
	}
}
