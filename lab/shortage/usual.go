package shortage

import (
	"slices"
	"time"

	"github.com/coralstair/coralstair/contract"
)

// usualEngine is an engine of 16 slots that does some 12 requests of the usual kinds a second.
var usualEngine = &contract.Engine{
	Slots: 16, Stride: 6, Chunk: 2048, Step: 6730 * time.Microsecond, PerSequence: 22 * time.Microsecond,
	PerContext: 7 * time.Microsecond, ReadRate: 30600, PerPairs: 647 * time.Microsecond, UsualPrompt: 900, UsualAnswer: 115,
}

// usualWait is how long callers of the usual kinds wait.
const usualWait = 6 * time.Second

// Usual returns what is played usually: 12 servers, five entries and three kinds of request for 30 s, 189 requests a second
// times load, of which the servers can do some 150.
func Usual(seed uint64, load float64) Params {
	kinds := []Kind{
		{Name: "long", Goal: 400 * time.Millisecond, Worth: 2.5, Prompt: 1290, Answer: 144, PerSecond: 74},
		{Name: "middle", Goal: 400 * time.Millisecond, Worth: 2.1, Prompt: 787, Answer: 144, PerSecond: 53},
		{Name: "short", Goal: 300 * time.Millisecond, Worth: 1.3, Prompt: 607, Answer: 70, PerSecond: 62},
	}
	for i := range kinds {
		kinds[i].Wait = usualWait
		kinds[i].PerSecond *= load
	}
	return Params{Engine: usualEngine, Servers: 12, Entries: 5, For: 30 * time.Second, Seed: seed, Busy: 1, Kinds: kinds}
}

// Many returns what is played with many entries: 45 servers of 12 slots, 13 entries and three kinds of request for 20 s, 584 requests a
// second times load, of which the servers can do some 450; callers' patience differs by 15 in 100.
func Many(seed uint64, load float64) Params {
	engine := *usualEngine
	engine.Slots, engine.Stride = 12, 7
	p := Params{Engine: &engine, Servers: 45, Entries: 13, For: 20 * time.Second, Seed: seed, Busy: 1, Patience: 0.15}
	p.Kinds = []Kind{
		{Name: "long", Goal: 400 * time.Millisecond, Wait: usualWait, Worth: 2.5, Prompt: 1290, Answer: 147, PerSecond: 191 * load},
		{Name: "middle", Goal: 400 * time.Millisecond, Wait: usualWait, Worth: 2.2, Prompt: 787, Answer: 147, PerSecond: 230 * load},
		{Name: "short", Goal: 400 * time.Millisecond, Wait: usualWait, Worth: 1.3, Prompt: 607, Answer: 70, PerSecond: 163 * load},
	}
	return p
}

// Mean is what a way earned over several seeds.
type Mean struct {
	Way string
	// All is the worth over all kinds, Worst that of the kind that is served worst; the others are shares of what was asked.
	All, Worst, InTime, Late, Refused, RefusedAgain float64
}

// Compare plays all ways over seeds 0, 1, ... and returns their means, in the order of their names.
func Compare(seeds int, params func(seed uint64) Params) []Mean {
	var means []Mean
	for name, way := range Ways {
		m := Mean{Way: name}
		for seed := range seeds {
			m.add(Play(params(uint64(seed)), way), float64(seeds))
		}
		means = append(means, m)
	}
	slices.SortFunc(means, func(a, b Mean) int {
		if a.Way < b.Way {
			return -1
		}
		return 1
	})
	return means
}

// add adds one play of so many.
func (m *Mean) add(tallies map[string]Tally, of float64) {
	var sum Tally
	worst := 1.0
	for _, t := range tallies {
		worst = min(worst, t.Worth())
		sum.Asked += t.Asked
		sum.InTime += t.InTime
		sum.Late += t.Late
		sum.Refused += t.Refused
		sum.RefusedAgain += t.RefusedAgain
		sum.owed += t.owed
		sum.earned += t.earned
	}
	asked := float64(max(sum.Asked, 1)) * of
	m.All += sum.Worth() / of
	m.Worst += worst / of
	m.InTime += float64(sum.InTime) / asked
	m.Late += float64(sum.Late) / asked
	m.Refused += float64(sum.Refused) / asked
	m.RefusedAgain += float64(sum.RefusedAgain) / asked
}
