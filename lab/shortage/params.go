package shortage

import (
	"slices"
	"time"

	"github.com/coralstair/coralstair/contract"
)

var defaultEngine = &contract.Engine{
	Slots: 16, Stride: 6, Chunk: 2048, Step: 6730 * time.Microsecond, PerSequence: 22 * time.Microsecond,
	PerContext: 7 * time.Microsecond, ReadRate: 30600, PerPairs: 647 * time.Microsecond, UsualPrompt: 900, UsualAnswer: 115,
}

const defaultTimeout = 6 * time.Second

// DefaultParams returns a simulation of a few entries; the rates are multiplied by load, and load 1 is above the capacity.
func DefaultParams(seed uint64, load float64) Params {
	kinds := []Kind{
		{Name: "long", Goal: 400 * time.Millisecond, Value: 2.5, Prompt: 1290, Answer: 144, Rate: 74},
		{Name: "middle", Goal: 400 * time.Millisecond, Value: 2.1, Prompt: 787, Answer: 144, Rate: 53},
		{Name: "short", Goal: 300 * time.Millisecond, Value: 1.3, Prompt: 607, Answer: 70, Rate: 62},
	}
	for i := range kinds {
		kinds[i].Timeout = defaultTimeout
		kinds[i].Rate *= load
	}
	return Params{Engine: defaultEngine, Servers: 12, Entries: 5, Duration: 30 * time.Second, Seed: seed, BurstFactor: 1, Kinds: kinds}
}

// ManyEntriesParams returns a simulation of many entries with varying caller timeouts; the rates are multiplied by load, and
// load 1 is above the capacity.
func ManyEntriesParams(seed uint64, load float64) Params {
	engine := *defaultEngine
	engine.Slots, engine.Stride = 12, 7
	p := Params{Engine: &engine, Servers: 45, Entries: 13, Duration: 20 * time.Second, Seed: seed, BurstFactor: 1, TimeoutSpread: 0.15}
	p.Kinds = []Kind{
		{Name: "long", Goal: 400 * time.Millisecond, Timeout: defaultTimeout, Value: 2.5, Prompt: 1290, Answer: 147, Rate: 191 * load},
		{Name: "middle", Goal: 400 * time.Millisecond, Timeout: defaultTimeout, Value: 2.2, Prompt: 787, Answer: 147, Rate: 230 * load},
		{Name: "short", Goal: 400 * time.Millisecond, Timeout: defaultTimeout, Value: 1.3, Prompt: 607, Answer: 70, Rate: 163 * load},
	}
	return p
}

// RankedParams returns a simulation of kinds of different ranks at servers near their capacity; from second 4 to 9 the rate of the least
// urgent kind is multiplied by burst.
func RankedParams(seed uint64, entries int, burst float64) Params {
	engine := *defaultEngine
	engine.Slots, engine.Stride, engine.Step, engine.PerContext, engine.ReadRate = 12, 5, 9300*time.Microsecond, 32*time.Microsecond, 20_000
	p := Params{Engine: &engine, Servers: 30, Entries: entries, Duration: 14 * time.Second, Seed: seed, BurstFactor: 1}
	p.BurstStart, p.BurstEnd = 4*time.Second, 9*time.Second
	p.Kinds = []Kind{
		{Name: "urgent", Goal: 400 * time.Millisecond, Value: 3.2, LateShare: 0.32, Prompt: 900, Answer: 115, Rate: 105},
		{Name: "middle", Rank: 1, Goal: 400 * time.Millisecond, Value: 1.3, LateShare: 0.31, Prompt: 700, Answer: 90, Rate: 58},
		{Name: "least", Rank: 2, Goal: time.Second, Value: 1, LateShare: 0.38, Prompt: 1100, Answer: 115, Rate: 83, Burst: burst},
	}
	for i := range p.Kinds {
		p.Kinds[i].Timeout = defaultTimeout
	}
	return p
}

// Mean holds the mean results of a strategy over several seeds.
type Mean struct {
	Strategy string
	// Value is the value ratio over all kinds, WorstValue that of the worst kind; the others are fractions of the requests.
	Value, WorstValue, InTime, Late, Refused, RefusedAgain float64
}

// Compare simulates all strategies with seeds from 0 and returns their means, sorted by name.
func Compare(seeds int, params func(seed uint64) Params) []Mean {
	var means []Mean
	for name, newStrategy := range Strategies {
		m := Mean{Strategy: name}
		for seed := range seeds {
			m.addRun(Simulate(params(uint64(seed)), newStrategy), float64(seeds))
		}
		means = append(means, m)
	}
	slices.SortFunc(means, func(a, b Mean) int {
		if a.Strategy < b.Strategy {
			return -1
		}
		return 1
	})
	return means
}

// addRun adds the results of one of n runs.
func (m *Mean) addRun(tallies map[string]Tally, n float64) {
	var sum Tally
	worst := 1.0
	for _, t := range tallies {
		worst = min(worst, t.ValueRatio())
		sum.Requests += t.Requests
		sum.InTime += t.InTime
		sum.Late += t.Late
		sum.Refused += t.Refused
		sum.RefusedAgain += t.RefusedAgain
		sum.maxValue += t.maxValue
		sum.value += t.value
	}
	requests := float64(max(sum.Requests, 1)) * n
	m.Value += sum.ValueRatio() / n
	m.WorstValue += worst / n
	m.InTime += float64(sum.InTime) / requests
	m.Late += float64(sum.Late) / requests
	m.Refused += float64(sum.Refused) / requests
	m.RefusedAgain += float64(sum.RefusedAgain) / requests
}
