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

func newSpreadChoice(window time.Duration) *spreadChoice {
	return &spreadChoice{rng: rand.New(rand.NewPCG(1, 1)), window: window}
}

func (s *spreadChoice) choose(e *contract.Engine, v view, c *caller) placement {
	return s.chooseAhead(e, v.loads, v.loads, c, 0)
}

// chooseAhead chooses by the loads in ahead, the part of each server's load that goes before the request. overtakes is the fraction that
// it overtakes, at a full server, of the requests that other entries have sent since the latest report.
func (s *spreadChoice) chooseAhead(e *contract.Engine, loads, ahead []engine.Load, c *caller, overtakes float64) placement {
	costs, total := make([]time.Duration, len(loads)), 0
	for i, load := range loads {
		costs[i] = engine.TimeToFirstEvent(e, ahead[i], c.prompt)
		total += load.Decoding + load.Prefilling
	}
	slotTime := engine.SlotTime(e, engine.Load{Decoding: total / len(loads)}).Seconds()
	sentWithin := func(window time.Duration) float64 { return 1 + float64(total)*window.Seconds()/slotTime }
	requestCost := engine.PrefillTime(e, e.UsualPrompt, 1) + engine.StepTime(e, e.Slots/2)
	index, others := balance.Pick(costs, balance.InFlight{Unreported: sentWithin(reportInterval / 2), Window: sentWithin(reportInterval/2 + s.window)}, requestCost, s.rng.Float64())
	if !loads[index].IsFull(e) {
		overtakes = 0
	}
	return placement{server: index, load: ahead[index], timeToFirst: costs[index] + time.Duration(others/2*float64(requestCost)*(1-overtakes))}
}
