package shortage

import (
	"testing"
	"time"
)

const (
	// leastKindShare is the fraction of what all callers get that no kind may fall below.
	leastKindShare = 0.25
	// urgentRefused is the largest fraction of the most urgent first tries that may be refused while all of them fit the servers.
	urgentRefused = 0.05
)

// runs adds the outcomes of a strategy over some seeds.
func runs(name string, params func(seed uint64) Params) map[string]Tally {
	const seeds = 3
	sums := make(map[string]Tally)
	for seed := range uint64(seeds) {
		for kind, t := range Simulate(params(seed), Strategies[name]) {
			sum := sums[kind]
			sum.add(t)
			sums[kind] = sum
			all := sums[""]
			all.add(t)
			sums[""] = all
		}
	}
	return sums
}

func (t *Tally) add(other Tally) {
	t.Requests += other.Requests
	t.InTime += other.InTime
	t.Late += other.Late
	t.Refused += other.Refused
	t.RefusedAgain += other.RefusedAgain
	t.maxValue += other.maxValue
	t.value += other.value
}

func (t Tally) share(n int) float64 { return float64(n) / float64(t.Requests) }

// TestRanksUnderBursts checks what ranks are for: under a burst of the least urgent the most urgent are served first, none starves, and
// callers get no less than from admission without ranks and servers that serve in order.
func TestRanksUnderBursts(t *testing.T) {
	for name, test := range map[string]struct {
		entries int
		params  func(p *Params)
	}{
		"few entries":                     {3, func(*Params) {}},
		"many entries":                    {22, func(*Params) {}},
		"few entries, long burst":         {3, func(p *Params) { p.Kinds[2].Burst = 4 }},
		"many entries, long burst":        {22, func(p *Params) { p.Kinds[2].Burst = 4 }},
		"few entries, near the capacity":  {3, func(p *Params) { p.Kinds[2].Burst = 0.6 }},
		"many entries, near the capacity": {22, func(p *Params) { p.Kinds[2].Burst = 0.6 }},
	} {
		t.Run(name, func(t *testing.T) {
			params := func(seed uint64) Params {
				p := RankedParams(seed, test.entries, 2.3)
				test.params(&p)
				return p
			}
			before, after := runs("spread wider", params), runs("ranks", params)
			for _, kind := range []string{"urgent", "middle", "least", ""} {
				b, a := before[kind], after[kind]
				t.Logf("%-8s %.3f (without ranks %.3f), in time %.2f (%.2f), late %.2f (%.2f), refused %.2f (%.2f)", kind, a.ValueRatio(), b.ValueRatio(),
					a.share(a.InTime), b.share(b.InTime), a.share(a.Late), b.share(b.Late), a.share(a.Refused), b.share(b.Refused))
				if a.share(a.InTime+a.Late) < leastKindShare*after[""].share(after[""].InTime+after[""].Late) {
					t.Errorf("%s starves", kind)
				}
			}
			if after["urgent"].ValueRatio() < after["least"].ValueRatio() {
				t.Error("the least urgent earn more than the most urgent")
			}
			if refused := after["urgent"].share(after["urgent"].Refused); refused > urgentRefused {
				t.Errorf("%.3f of the most urgent are refused though they fit", refused)
			}
			if after[""].ValueRatio() < before[""].ValueRatio() {
				t.Error("all earn less than without ranks")
			}
		})
	}
}

// TestOneRankGainsNothing checks that kinds of one rank get exactly what they get without ranks.
func TestOneRankGainsNothing(t *testing.T) {
	params := func(seed uint64) Params {
		p := RankedParams(seed, 5, 2.3)
		for i := range p.Kinds {
			p.Kinds[i].Rank = 0
		}
		return p
	}
	before, after := runs("spread wider", params), runs("ranks", params)
	for _, kind := range []string{"urgent", "middle", "least"} {
		if after[kind] != before[kind] {
			t.Errorf("%s: %+v, without ranks %+v", kind, after[kind], before[kind])
		}
	}
}

// TestRanksAfterAShortageOfAll checks that refusals of the most urgent in a shortage of all kinds are forgotten once there is room again.
func TestRanksAfterAShortageOfAll(t *testing.T) {
	for name, entries := range map[string]int{"few entries": 3, "many entries": 22} {
		t.Run(name, func(t *testing.T) {
			params := func(seed uint64) Params {
				p := RankedParams(seed, entries, 0)
				p.BurstFactor, p.BurstEnd = 6, p.BurstStart+2*time.Second
				for i := range p.Kinds {
					p.Kinds[i].Rate *= 0.8
				}
				return p
			}
			before, after := runs("spread wider", params), runs("ranks", params)
			for _, kind := range []string{"urgent", "middle", "least", ""} {
				b, a := before[kind], after[kind]
				t.Logf("%-8s %.3f (without ranks %.3f), refused %.2f (%.2f)", kind, a.ValueRatio(), b.ValueRatio(), a.share(a.Refused), b.share(b.Refused))
			}
			if after[""].ValueRatio() < before[""].ValueRatio() {
				t.Error("all earn less than without ranks")
			}
		})
	}
}
