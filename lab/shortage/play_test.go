package shortage

import (
	"testing"
	"time"

	"github.com/coralstair/coralstair/contract"
)

var testEngine = &contract.Engine{
	Slots: 16, Stride: 6, Chunk: 2048, Step: 6730 * time.Microsecond, PerSequence: 22 * time.Microsecond,
	PerContext: 7 * time.Microsecond, ReadRate: 30600, PerPairs: 647 * time.Microsecond, UsualPrompt: 900, UsualAnswer: 115,
}

// testParams are 12 servers before 190 requests a second, of which they can serve some 150, or so many times that.
func testParams(seed uint64, load float64) Params {
	kind := func(name string, goal time.Duration, worth float64, prompt, answer int, rate float64) Kind {
		return Kind{
			Name: name, Goal: goal, Wait: 6 * time.Second, Worth: worth, Prompt: prompt, Answer: answer, PerSecond: rate * load,
		}
	}
	return Params{
		Engine: testEngine, Servers: 12, Entries: 5, For: 30 * time.Second, Seed: seed, Busy: 1,
		Kinds: []Kind{
			kind("long", 400*time.Millisecond, 2.5, 1290, 144, 74),
			kind("middle", 400*time.Millisecond, 2.1, 787, 144, 53),
			kind("short", 300*time.Millisecond, 1.3, 607, 70, 62),
		},
	}
}

// means plays all ways over seeds and returns the mean worth of each, over all kinds and of the kind that is served worst.
func means(seeds int, params func(seed uint64) Params) (all, worst map[string]float64) {
	all, worst = make(map[string]float64), make(map[string]float64)
	for name, way := range Ways {
		for seed := range seeds {
			least := 1.0
			earned, owed := 0.0, 0.0
			for _, t := range Play(params(uint64(seed)), way) {
				least = min(least, t.Worth())
				earned += t.earned
				owed += t.owed
			}
			all[name] += earned / owed / float64(seeds)
			worst[name] += least / float64(seeds)
		}
	}
	return all, worst
}

func TestWaysUnderLoad(t *testing.T) {
	const seeds = 5
	for name, test := range map[string]struct {
		params func(seed uint64) Params
		// gain is by how much the policy has to beat letting in by the own goal, over all kinds and of the worst served.
		gain, gainWorst float64
	}{
		"room for all":            {func(seed uint64) Params { return testParams(seed, 0.6) }, -0.005, -0.005},
		"a shortage that lasts":   {func(seed uint64) Params { return testParams(seed, 1) }, 0.05, 0.05},
		"a shortage of a quarter": {func(seed uint64) Params { return testParams(seed, 1.3) }, 0.05, 0.05},
		"a short jam": {func(seed uint64) Params {
			p := testParams(seed, 0.6)
			p.BusyFrom, p.BusyTo, p.Busy = 10*time.Second, 12*time.Second, 2.5
			return p
		}, -0.01, -0.02},
	} {
		t.Run(name, func(t *testing.T) {
			all, worst := means(seeds, test.params)
			for _, way := range []string{"least in flight", "own goal", "admission"} {
				t.Logf("%-16s %.3f, worst kind %.3f", way, all[way], worst[way])
			}
			if gain := all["admission"] - all["own goal"]; gain < test.gain {
				t.Errorf("worth %+.3f against the own goal, want at least %+.3f", gain, test.gain)
			}
			if gain := worst["admission"] - worst["own goal"]; gain < test.gainWorst {
				t.Errorf("worth of the worst kind %+.3f against the own goal, want at least %+.3f", gain, test.gainWorst)
			}
		})
	}
}

func TestPlayRepeats(t *testing.T) {
	first, second := Play(testParams(3, 1), Ways["admission"]), Play(testParams(3, 1), Ways["admission"])
	for name, tally := range first {
		if second[name] != tally {
			t.Errorf("%s: %+v and %+v with one seed", name, tally, second[name])
		}
	}
}

func TestCallersDoNotDependOnTheWay(t *testing.T) {
	asked := make(map[string]int)
	for name, way := range Ways {
		for kind, tally := range Play(testParams(7, 1), way) {
			if n, known := asked[kind]; known && n != tally.Asked {
				t.Errorf("%s: %d asked by %s, %d by another way", kind, tally.Asked, name, n)
			}
			asked[kind] = tally.Asked
		}
	}
}
