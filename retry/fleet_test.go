package retry

import (
	"sort"
	"testing"
	"time"
)

const (
	fleetRatio   = 0.2
	fleetSlack   = 106
	fleetWindow  = 10 * time.Second
	fleetEntries = 5
)

// fleet simulates entries that share a budget while every request fails from a moment on.
type fleet struct {
	// rate is the number of requests per second over all entries, tries how many retries each failed one asks for.
	rate  int
	tries int
	// failsFrom is when requests begin to fail, until when the run ends.
	failsFrom, until time.Duration
	// restarts are the times at which entries restart, all of them or the first few.
	restarts  []time.Duration
	restarted int
	// count returns the number of entries that the entries assume; nil for the real one.
	count func(at time.Duration) int
	// down reports whether an entry is down; nil if none ever is.
	down func(entry int, at time.Duration) bool
}

// run returns the times of all requests and of all retries.
func (f *fleet) run() (requests, retries []time.Duration) {
	const service = "s"
	begin := time.Unix(1000, 0)
	budgets := make([]*Budget, fleetEntries)
	for i := range budgets {
		budgets[i] = NewBudget(fleetRatio, fleetSlack, fleetWindow)
		budgets[i].SetEntries(fleetEntries, begin)
	}
	left := f.restarts
	for n := 0; ; n++ {
		at := time.Duration(n) * time.Second / time.Duration(f.rate)
		if at >= f.until {
			return requests, retries
		}
		for len(left) > 0 && at >= left[0] {
			for i := range budgets[:f.restarted] {
				budgets[i] = NewBudget(fleetRatio, fleetSlack, fleetWindow)
				budgets[i].StartedAt(begin.Add(left[0]))
			}
			left = left[1:]
		}
		now, entry := begin.Add(at), n%fleetEntries
		requests = append(requests, at)
		if f.down != nil && f.down(entry, at) {
			continue
		}
		b := budgets[entry]
		if f.count == nil {
			b.SetEntries(fleetEntries, now)
		} else {
			b.SetEntries(f.count(at), now)
		}
		b.CountRequest(service, now)
		for range f.tries {
			if at >= f.failsFrom && b.TakeRetry(service, now) {
				retries = append(retries, at)
			}
		}
	}
}

// largestUse returns the largest fraction of the budget that the retries of any window use. The requests are those of the
// window, the one before it or the one half a window before it, whichever are most.
func largestUse(requests, retries []time.Duration) float64 {
	between := func(times []time.Duration, from time.Duration) int {
		index := func(at time.Duration) int { return sort.Search(len(times), func(i int) bool { return times[i] >= at }) }
		return index(from+fleetWindow) - index(from)
	}
	largest := 0.0
	for _, from := range retries {
		n := max(between(requests, from), between(requests, from-fleetWindow/2), between(requests, from-fleetWindow))
		largest = max(largest, float64(between(retries, from))/(fleetRatio*float64(n)+fleetSlack))
	}
	return largest
}

// every returns the times from a start to an end at an interval.
func every(interval, from, to time.Duration) []time.Duration {
	var times []time.Duration
	for at := from; at < to; at += interval {
		times = append(times, at)
	}
	return times
}

// TestRestartsDoNotRenewTheBudget guards against entries that use the budget of a window again after a restart.
func TestRestartsDoNotRenewTheBudget(t *testing.T) {
	const s = time.Second
	for name, test := range map[string]struct {
		fleet fleet
		least float64
	}{
		"entries that run on":            {fleet{rate: 200, tries: 2, failsFrom: 20 * s, until: 40 * s}, 0.6},
		"entries that run on, few calls": {fleet{rate: 10, tries: 2, failsFrom: 20 * s, until: 40 * s}, 0.6},
		"all restart once":               {fleet{rate: 200, tries: 2, failsFrom: 20 * s, until: 40 * s, restarts: []time.Duration{22 * s}, restarted: 5}, 0.6},
		"some restart once":              {fleet{rate: 200, tries: 2, failsFrom: 20 * s, until: 40 * s, restarts: []time.Duration{22 * s}, restarted: 3}, 0.6},
		"all restart every second":       {fleet{rate: 200, tries: 2, failsFrom: 20 * s, until: 40 * s, restarts: every(s, 22*s, 36*s), restarted: 5}, 0.6},
		"all restart every second, few calls": {
			fleet{rate: 10, tries: 2, failsFrom: 16 * s, until: 40 * s, restarts: every(s, 22*s, 36*s), restarted: 5}, 0.4,
		},
		"all restart every second, first calls": {
			fleet{rate: 200, tries: 2, until: 15 * s, restarts: every(s, s, 10*s), restarted: 5}, 0.2,
		},
		"all restart every 9 s": {fleet{rate: 100, tries: 2, failsFrom: 20 * s, until: 60 * s, restarts: every(9*s, 22*s, 50*s), restarted: 5}, 0.6},
	} {
		t.Run(name, func(t *testing.T) {
			use := largestUse(test.fleet.run())
			t.Logf("%.2f of the budget used", use)
			if use > 1 || use < test.least {
				t.Errorf("%.2f of the budget used, want %.2f to 1", use, test.least)
			}
		})
	}
}

// TestFewerEntriesDoNotRaiseTheBudget guards against entries that take the slack of others while the number of entries is
// too low or has just fallen.
func TestFewerEntriesDoNotRaiseTheBudget(t *testing.T) {
	const s = time.Second
	dips := func(n int, length, interval time.Duration) func(time.Duration) int {
		return func(at time.Duration) int {
			if at > 20*s && at%interval < length {
				return n
			}
			return fleetEntries
		}
	}
	failing := fleet{rate: 20, tries: 2, failsFrom: 20 * s, until: 40 * s}
	for name, test := range map[string]struct {
		count func(at time.Duration) int
		down  func(entry int, at time.Duration) bool
	}{
		"one entry for a moment":           {count: dips(1, 500*time.Millisecond, 5*s)},
		"one entry for a moment, repeated": {count: dips(1, 300*time.Millisecond, s)},
		"two entries for some seconds":     {count: dips(2, 4*s, 8*s)},
		"three of five entries end": {
			count: func(at time.Duration) int {
				if at > 22*s+100*time.Millisecond {
					return 2
				}
				return fleetEntries
			},
			down: func(entry int, at time.Duration) bool { return entry > 1 && at > 22*s },
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := failing
			f.count, f.down = test.count, test.down
			use := largestUse(f.run())
			t.Logf("%.2f of the budget used", use)
			if use > 1 || use < 0.5 {
				t.Errorf("%.2f of the budget used, want 0.5 to 1", use)
			}
		})
	}
}
