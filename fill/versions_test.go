package fill

import (
	"math"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coralstair/coralstair/contract"
)

var versionsStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// successionTest is a moment after versions were named; all times count from the older version's naming.
type successionTest struct {
	newerNamed, bound   time.Duration
	olderRest           time.Duration
	from, until         time.Duration
	finished            bool
	differsFromCalmRule bool
}

const testFetchTime = 2200 * time.Millisecond

var successionTests = map[string]successionTest{
	"calm, the older one should be whole":     {newerNamed: 3 * time.Second, bound: time.Minute, olderRest: 50 * time.Millisecond, from: 3 * time.Second, until: 6900 * time.Millisecond, finished: true},
	"calm, the older one takes too long":      {newerNamed: 3 * time.Second, bound: time.Minute, olderRest: 50 * time.Millisecond, from: 7 * time.Second, until: 20 * time.Second},
	"calm, the older one is not far along":    {newerNamed: time.Second, bound: time.Minute, olderRest: time.Second, from: time.Second, until: 20 * time.Second},
	"half drawn, but calm":                    {newerNamed: 1500 * time.Millisecond, bound: time.Minute, olderRest: 700 * time.Millisecond, from: 1500 * time.Millisecond, until: 20 * time.Second},
	"half drawn, an outage would leave a gap": {newerNamed: 1500 * time.Millisecond, bound: 8 * time.Second, olderRest: 700 * time.Millisecond, from: 1500 * time.Millisecond, until: 5400 * time.Millisecond},
	"no bound":                                  {newerNamed: time.Second, olderRest: time.Second, from: time.Second, until: 20 * time.Second},
	"the origin is away":                        {newerNamed: 3 * time.Second, bound: 10 * time.Second, olderRest: 50 * time.Millisecond, from: 7 * time.Second, until: 11 * time.Second, finished: true, differsFromCalmRule: true},
	"back just before what runs ends":           {newerNamed: 3 * time.Second, bound: 10 * time.Second, olderRest: 50 * time.Millisecond, from: 8500 * time.Millisecond, until: 9900 * time.Millisecond, finished: true, differsFromCalmRule: true},
	"back after what runs has ended":            {newerNamed: 3 * time.Second, bound: 10 * time.Second, olderRest: 50 * time.Millisecond, from: 10 * time.Second, until: 11200 * time.Millisecond, finished: true, differsFromCalmRule: true},
	"the older one ends before it is ready":     {newerNamed: 3 * time.Second, bound: 10 * time.Second, olderRest: 50 * time.Millisecond, from: 12900 * time.Millisecond, until: 20 * time.Second},
	"much of the older one lacks, it ends soon": {newerNamed: time.Second, bound: 6 * time.Second, olderRest: 2 * time.Second, from: 5 * time.Second, until: 9 * time.Second},
}

func TestWhichVersionIsFetchedFirst(t *testing.T) {
	for name, test := range successionTests {
		t.Run(name, func(t *testing.T) {
			s := succession{
				olderNamed: versionsStart, newerNamed: versionsStart.Add(test.newerNamed),
				runsUntil: versionsStart.Add(test.bound), olderUntil: versionsStart.Add(test.newerNamed + test.bound),
				olderRest: test.olderRest, newerRest: testFetchTime,
			}
			for at := test.from; at <= test.until; at += 25 * time.Millisecond {
				now := versionsStart.Add(at)
				if got := s.finishOlder(now); got != test.finished {
					t.Fatalf("after %s: the older version is finished first: %t, want %t", at, got, test.finished)
				}
				calm := test.newerNamed >= testFetchTime && at-test.newerNamed < finishTimeout
				if !test.differsFromCalmRule && calm != test.finished {
					t.Fatalf("after %s: differs from the rule of calm times", at)
				}
			}
		})
	}
}

// TestOlderVersionIsFinishedOnceTheOriginIsBack checks that a version that lacks one piece when the origin goes away is kept and
// run, since the newer one cannot be fetched before servers may run nothing.
func TestOlderVersionIsFinishedOnceTheOriginIsBack(t *testing.T) {
	t.Parallel()
	const (
		fetchTime = 2 * time.Second
		bound     = 8 * time.Second
		outage    = 5 * time.Second
	)
	s := newSite(t, 3, bound)
	s.setLinkRate(testPieces * testBytes / fetchTime.Seconds())
	var backAt atomic.Int64
	backAt.Store(math.MaxInt64)
	s.origin.away = func(version contract.Version, piece int) bool {
		return (version == 3 || piece == 5) && time.Now().UnixNano() < backAt.Load()
	}
	s.startRunning()
	s.nameVersion(2)
	time.Sleep(fetchTime + 400*time.Millisecond)
	backAt.Store(time.Now().Add(outage).UnixNano())
	s.nameVersion(3)
	s.waitLoaded(3, loadTimeLimit)
	for i, engine := range s.engines {
		if len(engine.orders) != 2 || engine.orders[0] != 2 || engine.orders[1] != 3 {
			t.Errorf("server %d was ordered to load %v, want 2 then 3", i, engine.orders)
		}
	}
}
