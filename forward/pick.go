package forward

import (
	"math/rand/v2"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/engine"
	"github.com/coralstair/coralstair/spread"
)

const (
	// reportLag is how old what is known of other entries' requests is, in the mean: half the pause between two reports, half
	// that between two looks at the server, and the way.
	reportLag = 90 * time.Millisecond
	// predictionError is by how much a wait predicted while servers are full is too short between one in four times (0.09 s) and one
	// in ten (0.27 s): a choice is spread over what is sent in that time too, since servers that differ by less are alike. By the
	// age of reports alone servers that looked free were late more often than full ones (29 and 17 in 100); with it mean worth rose
	// by 0.04 in shortages that last (45 servers, 13 entries, two days), and by 0.002 with 12 servers and five entries (five days).
	predictionError = 200 * time.Millisecond
	// usualWriting is how many requests a server usually writes for when one more is weighed.
	usualWriting = 8
)

// shares are how many requests are at the servers of a service, and how many of them are other entries'.
type shares struct{ servers, own, others int }

// add counts what is at a server.
func (s *shares) add(up *upstream, now time.Time) {
	up.mu.Lock()
	defer up.mu.Unlock()
	s.servers++
	s.own += up.inFlight
	if now.Sub(up.reportAt) < reportLife {
		s.others += up.othersWriting + up.othersReading
	}
}

// sent returns how many requests all entries together send while a report is on its way, the one at hand included, and over how many a
// choice is spread.
func (s shares) sent(e *contract.Engine) spread.Sent {
	return spread.Sent{Unseen: 1 + s.othersIn(reportLag, e), Over: 1 + s.othersIn(reportLag+predictionError, e)}
}

// othersIn returns how many requests the other entries send in a time: as many as they have at the servers in the time for which a
// request is there. This entry's own requests do not count in that. Taken from their rate, an entry that refused most of them believed
// ever more of the others, and refused nearly all from then on (0.11 of a day's worth).
func (s shares) othersIn(within time.Duration, e *contract.Engine) float64 {
	if s.servers == 0 {
		return 0
	}
	held := engine.Hold(e, engine.Load{Writing: (s.own + s.others) / s.servers})
	if held <= 0 {
		return 0
	}
	return float64(s.others) * within.Seconds() / held.Seconds()
}

// addedWait returns what one more request adds to the wait at an engine.
func addedWait(e *contract.Engine) time.Duration {
	return engine.Read(e, e.UsualPrompt, 1) + engine.Step(e, usualWriting)
}

// pick chooses among servers of which entries hear late. What others are likely to have sent to the chosen server is added to its wait.
func pick(offers []choice, sent spread.Sent, adds time.Duration) choice {
	place, others := spread.Pick(costs(offers), sent, adds, rand.Float64())
	c := offers[place]
	c.first += time.Duration(others / 2 * float64(adds))
	return c
}

// costs returns what offers cost.
func costs(offers []choice) []time.Duration {
	costs := make([]time.Duration, len(offers))
	for i, offer := range offers {
		costs[i] = offer.cost
	}
	return costs
}
