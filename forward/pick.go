package forward

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/engine"
)

const (
	// reportLag is how old what is known of other entries' requests is, in the mean: half the pause between two reports, half
	// that between two looks at the server, and the way.
	reportLag = 90 * time.Millisecond
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

// unseen returns how many requests all entries together send while a report is on its way, the one at hand included: others
// send as many as they have at the servers in the time for which a request is there. This entry's own requests do not count in
// that. Taken from their rate, an entry that refused most of them believed ever more of the others, and refused nearly all from
// then on (0.11 of a day's worth).
func (s shares) unseen(e *contract.Engine) float64 {
	if s.servers == 0 {
		return 1
	}
	held := engine.Hold(e, engine.Load{Writing: (s.own + s.others) / s.servers})
	if held <= 0 {
		return 1
	}
	return 1 + float64(s.others)*reportLag.Seconds()/held.Seconds()
}

// addedWait returns what one more request adds to the wait at an engine.
func addedWait(e *contract.Engine) time.Duration {
	return engine.Read(e, e.UsualPrompt, 1) + engine.Step(e, usualWriting)
}

// pick chooses among servers of which entries hear late. All entries see the same server as the best one; if each took it,
// it would get all that is sent until the next report. So each takes a server as often as it would get one of the unseen
// requests if these went one after the other to where they cost least, each adding so much there. What others are likely to
// have sent to the chosen server is added to its wait.
func pick(offers []choice, unseen float64, adds time.Duration) choice {
	chosen := cheapest(offers)
	if unseen <= 1 {
		return offers[chosen]
	}
	filled := level(offers, unseen, adds)
	turn := rand.Float64() * unseen
	for i, offer := range offers {
		if share := shareOf(offer, filled, adds); share > 0 {
			chosen = i
			if turn -= share; turn < 0 {
				break
			}
		}
	}
	c := offers[chosen]
	others := shareOf(c, filled, adds) * (unseen - 1) / unseen
	c.first += time.Duration(others / 2 * float64(adds))
	return c
}

// cheapest returns the place of the offer that costs least.
func cheapest(offers []choice) int {
	best := 0
	for i := range offers {
		if offers[i].cost < offers[best].cost {
			best = i
		}
	}
	return best
}

// shareOf returns how many requests fill a server up to a cost.
func shareOf(offer choice, filled, adds time.Duration) float64 {
	return max(0, float64(filled-offer.cost)/float64(adds))
}

// level returns the cost up to which so many requests fill the servers, each adding so much.
func level(offers []choice, requests float64, adds time.Duration) time.Duration {
	costs := make([]time.Duration, len(offers))
	for i, offer := range offers {
		costs[i] = offer.cost
	}
	slices.Sort(costs)
	sum := time.Duration(0)
	filled := time.Duration(0)
	for i, cost := range costs {
		if i > 0 && filled <= cost {
			break
		}
		sum += cost
		filled = (sum + time.Duration(requests*float64(adds))) / time.Duration(i+1)
	}
	return filled
}
