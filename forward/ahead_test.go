package forward

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/coralstair/coralstair/admission"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/engine"
	"github.com/coralstair/coralstair/link"
)

var rankedEngine = &contract.Engine{Slots: 12, Stride: 5, Chunk: 2048, Step: 9 * time.Millisecond, ReadRate: 20_000, UsualPrompt: 1000, UsualAnswer: 100}

// upstreamWithLoad returns a server with own requests of the given ranks without a first event, and with those of others in its report.
func upstreamWithLoad(own []int, running, waiting int, now time.Time) *upstream {
	u := &upstream{}
	for _, rank := range own {
		u.tryAcquire(1000, time.Second, 1, now).setRank(rank)
	}
	u.applyReport(link.Report{Running: running, Waiting: waiting + len(own)}, 1, now)
	return u
}

func TestAhead(t *testing.T) {
	for name, test := range map[string]struct {
		own              []int
		running, waiting int
		standing         admission.Standing
		// prefilling is the number of requests believed to go before, of those without a first event.
		prefilling int
	}{
		"free slots: all count":                     {[]int{2, 2}, 4, 4, admission.Standing{Overtakes: 1}, 6},
		"full, overtakes none":                      {[]int{0, 0}, 12, 6, admission.Standing{}, 8},
		"full, overtakes own ones":                  {[]int{2, 2, 0}, 12, 0, admission.Standing{}, 1},
		"full, as urgent as own ones":               {[]int{2, 2, 2}, 12, 0, admission.Standing{Rank: 2}, 3},
		"full, overtakes half of others":            {nil, 12, 8, admission.Standing{Overtakes: 0.5}, 4},
		"full, overtakes all":                       {[]int{1, 2}, 12, 8, admission.Standing{Overtakes: 1}, 0},
		"half of those without an event have slots": {nil, 8, 8, admission.Standing{Overtakes: 1}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			u := upstreamWithLoad(test.own, test.running, test.waiting, now)
			load := u.load(rankedEngine, now)
			ahead := u.ahead(load, test.standing, rankedEngine)
			if ahead.Prefilling != test.prefilling || ahead.PrefillTokens != 1000*test.prefilling || ahead.Decoding != load.Decoding {
				t.Errorf("%+v of %+v go before, want %d without a first event", ahead, load, test.prefilling)
			}
		})
	}
}

// TestAllGoesBeforeWithoutRanks checks that where ranks don't differ, the load that goes before a request is the server's, and its first
// event is predicted for it.
func TestAllGoesBeforeWithoutRanks(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	for range 2000 {
		now := time.Now()
		u := upstreamWithLoad(make([]int, r.IntN(20)), r.IntN(14), r.IntN(30), now)
		load := u.load(rankedEngine, now)
		if ahead := u.ahead(load, admission.Standing{}, rankedEngine); ahead != load {
			t.Fatalf("%+v of %+v go before", ahead, load)
		}
		late := time.Duration(r.Int64N(int64(2 * time.Second)))
		u.observeLag(late, now)
		at := now.Add(time.Duration(r.Int64N(int64(5 * time.Second))))
		if u.lagOf(0, at) != u.currentLag(at) || u.oldestOverdue(0, true, at) != u.oldestOverdue(0, false, at) {
			t.Fatalf("lag %s and %s, overdue %s and %s", u.lagOf(0, at), u.currentLag(at), u.oldestOverdue(0, true, at), u.oldestOverdue(0, false, at))
		}
	}
}

// TestLateRequestsCountForTheirRank checks that late first events count for requests as urgent or less, and not for more urgent ones,
// which may have overtaken them.
func TestLateRequestsCountForTheirRank(t *testing.T) {
	for name, test := range map[string]struct {
		late, rank int
		counts     bool
	}{
		"own rank":                 {1, 1, true},
		"more urgent":              {0, 2, true},
		"less urgent":              {2, 0, false},
		"beyond the last rank":     {40, 40, true},
		"far less urgent for some": {40, 8, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			u := &upstream{}
			r := u.tryAcquire(1000, 100*time.Millisecond, 1, now)
			r.setRank(test.late)
			after := now.Add(time.Second)
			if overdue := u.oldestOverdue(test.rank, true, after) > 0; overdue != test.counts {
				t.Errorf("overdue at a full server: %t, want %t", overdue, test.counts)
			}
			if u.oldestOverdue(test.rank, false, after) == 0 {
				t.Error("not overdue at a server with free slots, where none is overtaken")
			}
			r.recordFirstEvent(after)
			if counts := u.lagOf(test.rank, after) > 0; counts != test.counts {
				t.Errorf("lag counts: %t, want %t", counts, test.counts)
			}
		})
	}
}

// TestUrgentRequestsArePredictedSooner checks that a more urgent request is predicted its first event sooner at a full server, and the
// least urgent one later than by the load alone.
func TestUrgentRequestsArePredictedSooner(t *testing.T) {
	now := time.Now()
	u := upstreamWithLoad(nil, 12, 12, now)
	load := u.load(rankedEngine, now)
	first := func(s admission.Standing) time.Duration {
		return engine.TimeToFirstEvent(rankedEngine, u.ahead(load, s, rankedEngine), 1000)
	}
	urgent, plain, least := first(admission.Standing{Overtakes: 0.7}), first(admission.Standing{}), first(admission.Standing{Rank: 2, Overtaken: 0.7})
	if urgent >= plain || plain >= least {
		t.Errorf("%s, %s, %s", urgent, plain, least)
	}
}
