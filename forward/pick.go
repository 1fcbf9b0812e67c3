package forward

import (
	"math/rand/v2"
	"time"

	"github.com/coralstair/coralstair/admission"
	"github.com/coralstair/coralstair/balance"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/engine"
)

const (
	// reportLag is the mean age of what is known about other entries' requests.
	reportLag = 90 * time.Millisecond
	// predictionMargin covers errors in predicted waits at full servers: a choice is spread over the requests
	// sent within reportLag plus this time.
	// Predicted waits at full servers are too short by 0.09 s one time in four and by 0.27 s one time in ten. Spread over reportLag alone,
	// servers that looked free were late more often than full ones.
	predictionMargin = 200 * time.Millisecond
	// typicalBatch is the batch size assumed for the cost of one more request.
	typicalBatch = 8
)

// requestCounts are the requests at a service's servers: this entry's own and the other entries'.
type requestCounts struct {
	servers, own, others int
	// reported counts the servers whose load is known from a recent report.
	reported int
	// waiting counts this entry's requests without a first event at full servers, by rank, queued all entries' requests that wait for a slot.
	waiting admission.Waiting
	queued  int
}

// add counts the requests at a server.
func (s *requestCounts) add(up *upstream, e *contract.Engine, now time.Time) {
	up.mu.Lock()
	defer up.mu.Unlock()
	s.servers++
	s.own += up.inFlight
	if now.Sub(up.reportAt) < reportTTL {
		s.reported++
		s.others += up.othersWriting + up.othersReading
	}
	if e == nil {
		return
	}
	load := up.load(e, now)
	if !load.IsFull(e) {
		return
	}
	s.queued += load.Queued(e)
	for _, r := range up.pending {
		s.waiting.Add(r.rank)
	}
}

// demand returns what the choices and the requests at servers say of the demand for slots.
func (s requestCounts) demand(choices []choice, e *contract.Engine) admission.Demand {
	d := admission.Demand{Queued: float64(s.queued) / float64(max(s.servers, 1)), Reported: 2*s.reported > s.servers}
	for i := range choices {
		d.FreeSlots += choices[i].load.Free(e)
	}
	return d
}

// estimateInFlight estimates how many requests all entries send before a report shows them, the current one included,
// and over how many requests the choice of a server is spread.
func (s requestCounts) estimateInFlight(e *contract.Engine) balance.InFlight {
	return balance.InFlight{Unreported: 1 + s.othersSentIn(reportLag, e), Window: 1 + s.othersSentIn(reportLag+predictionMargin, e)}
}

// othersSentIn estimates how many requests the other entries send within a time, from those they have at the servers.
// Their observed rate would mislead an entry that refuses most of its own: it believed ever more of the others and refused nearly all
// from then on.
func (s requestCounts) othersSentIn(within time.Duration, e *contract.Engine) float64 {
	if s.servers == 0 {
		return 0
	}
	slotTime := engine.SlotTime(e, engine.Load{Decoding: (s.own + s.others) / s.servers})
	if slotTime <= 0 {
		return 0
	}
	return float64(s.others) * within.Seconds() / slotTime.Seconds()
}

// waitPerRequest returns the wait that one more request adds at an engine.
func waitPerRequest(e *contract.Engine) time.Duration {
	return engine.PrefillTime(e, e.UsualPrompt, 1) + engine.StepTime(e, typicalBatch)
}

// pick chooses among servers whose load is known with a delay, and adds to the wait what other entries have probably
// sent there since that the request doesn't overtake.
func pick(choices []choice, sent balance.InFlight, added time.Duration) choice {
	i, others := balance.Pick(costs(choices), sent, added, rand.Float64())
	c := choices[i]
	c.first += time.Duration(others / 2 * float64(added) * (1 - c.overtakes))
	return c
}

func costs(choices []choice) []time.Duration {
	costs := make([]time.Duration, len(choices))
	for i, ch := range choices {
		costs[i] = ch.cost
	}
	return costs
}
