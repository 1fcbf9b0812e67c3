package shortage

import (
	"testing"
	"time"
)

func TestStrategiesUnderLoad(t *testing.T) {
	const seeds = 5
	for name, test := range map[string]struct {
		params func(seed uint64) Params
		// minGain is the least gain of the admission policy over admission by the own goal, over all kinds and for the worst kind.
		minGain, minGainWorst float64
		// minGainLongest is the same, over all kinds, against detecting retries by the longest wait.
		minGainLongest float64
	}{
		"below capacity":  {func(seed uint64) Params { return DefaultParams(seed, 0.6) }, -0.005, -0.005, -0.005},
		"overload":        {func(seed uint64) Params { return DefaultParams(seed, 1) }, 0.05, 0.05, -0.005},
		"higher overload": {func(seed uint64) Params { return DefaultParams(seed, 1.3) }, 0.05, 0.05, -0.005},
		"short burst": {func(seed uint64) Params {
			p := DefaultParams(seed, 0.6)
			p.BurstStart, p.BurstEnd, p.BurstFactor = 10*time.Second, 12*time.Second, 2.5
			return p
		}, -0.01, -0.02, -0.01},
		"overload, different timeouts": {func(seed uint64) Params {
			p := DefaultParams(seed, 1)
			p.TimeoutSpread = 0.15
			return p
		}, 0.05, 0.05, 0.03},
	} {
		t.Run(name, func(t *testing.T) {
			means := make(map[string]Mean)
			for _, mean := range Compare(seeds, test.params) {
				means[mean.Strategy] = mean
				t.Logf("%-16s %.3f, worst kind %.3f", mean.Strategy, mean.Value, mean.WorstValue)
			}
			if gain := means["admission"].Value - means["own goal"].Value; gain < test.minGain {
				t.Errorf("value %+.3f against the own goal, want at least %+.3f", gain, test.minGain)
			}
			if gain := means["admission"].Value - means["longest wait"].Value; gain < test.minGainLongest {
				t.Errorf("value %+.3f against the longest wait, want at least %+.3f", gain, test.minGainLongest)
			}
			if gain := means["admission"].WorstValue - means["own goal"].WorstValue; gain < test.minGainWorst {
				t.Errorf("value of the worst kind %+.3f against the own goal, want at least %+.3f", gain, test.minGainWorst)
			}
		})
	}
}

func TestSimulationIsDeterministic(t *testing.T) {
	first, second := Simulate(DefaultParams(3, 1), Strategies["admission"]), Simulate(DefaultParams(3, 1), Strategies["admission"])
	for name, tally := range first {
		if second[name] != tally {
			t.Errorf("%s: %+v and %+v with one seed", name, tally, second[name])
		}
	}
}

func TestRequestsDoNotDependOnTheStrategy(t *testing.T) {
	requests := make(map[string]int)
	for name, newStrategy := range Strategies {
		for kind, tally := range Simulate(DefaultParams(7, 1), newStrategy) {
			if n, known := requests[kind]; known && n != tally.Requests {
				t.Errorf("%s: %d asked by %s, %d by another strategy", kind, tally.Requests, name, n)
			}
			requests[kind] = tally.Requests
		}
	}
}
