package shortage

import (
	"math/rand/v2"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/engine"
	"github.com/coralstair/coralstair/spread"
)

// bySpread lets tries in as entries do and spreads its choice over what others send meanwhile, and over what is sent in so much more
// time.
type bySpread struct {
	byPolicy
	turns *rand.Rand
	more  time.Duration
}

func newBySpread(more time.Duration) Way {
	return &bySpread{turns: rand.New(rand.NewPCG(1, 1)), more: more}
}

func (w *bySpread) choose(e *contract.Engine, loads []engine.Load, prompt int) offer {
	costs, at := make([]time.Duration, len(loads)), 0
	for i, load := range loads {
		costs[i] = engine.First(e, load, prompt)
		at += load.Writing + load.Reading
	}
	held := engine.Hold(e, engine.Load{Writing: at / len(loads)}).Seconds()
	in := func(within time.Duration) float64 { return 1 + float64(at)*within.Seconds()/held }
	adds := engine.Read(e, e.UsualPrompt, 1) + engine.Step(e, e.Slots/2)
	place, others := spread.Pick(costs, spread.Sent{Unseen: in(reportEvery / 2), Over: in(reportEvery/2 + w.more)}, adds, w.turns.Float64())
	return offer{server: place, load: loads[place], first: costs[place] + time.Duration(others/2*float64(adds))}
}
