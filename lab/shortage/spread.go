package shortage

import (
	"math/rand/v2"
	"time"

	"github.com/coralstair/coralstair/balance"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/engine"
)

// spreadChoice admits by the entries' policy and balances over the requests that other entries send before the next report,
// and over those sent within an additional window.
type spreadChoice struct {
	admissionPolicy
	rng    *rand.Rand
	window time.Duration
}

func newSpreadChoice(window time.Duration) Strategy {
	return &spreadChoice{rng: rand.New(rand.NewPCG(1, 1)), window: window}
}

func (s *spreadChoice) choose(e *contract.Engine, loads []engine.Load, prompt int) placement {
	costs, total := make([]time.Duration, len(loads)), 0
	for i, load := range loads {
		costs[i] = engine.TimeToFirstEvent(e, load, prompt)
		total += load.Decoding + load.Prefilling
	}
	slotTime := engine.SlotTime(e, engine.Load{Decoding: total / len(loads)}).Seconds()
	sentWithin := func(window time.Duration) float64 { return 1 + float64(total)*window.Seconds()/slotTime }
	requestCost := engine.PrefillTime(e, e.UsualPrompt, 1) + engine.StepTime(e, e.Slots/2)
	index, others := balance.Pick(costs, balance.InFlight{Unreported: sentWithin(reportInterval / 2), Window: sentWithin(reportInterval/2 + s.window)}, requestCost, s.rng.Float64())
	return placement{server: index, load: loads[index], timeToFirst: costs[index] + time.Duration(others/2*float64(requestCost))}
}
