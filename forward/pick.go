package forward

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/engine"
)

const (
	// reportLag is how old what is known of other entries' requests is, in the mean: half the pause between two reports, half
	// that between two looks at the server, and the way.
	reportLag = 90 * time.Millisecond
	// rateTime is the time over which the rate of requests is told.
	rateTime = time.Second
	// usualWriting is how many requests a server usually writes for when one more is weighed.
	usualWriting = 8
)

// rate is how many requests of a service come a second, of late.
type rate struct {
	mu     sync.Mutex
	perSec map[string]float64
	at     map[string]time.Time
}

// add counts a request.
func (r *rate) add(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.perSec == nil {
		r.perSec, r.at = make(map[string]float64), make(map[string]time.Time)
	}
	r.perSec[service] = r.faded(service, now) + 1/rateTime.Seconds()
	r.at[service] = now
}

// of returns the rate of a service.
func (r *rate) of(service string, now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faded(service, now)
}

// faded returns the rate as it counts now; mu is held.
func (r *rate) faded(service string, now time.Time) float64 {
	return r.perSec[service] * math.Exp(-now.Sub(r.at[service]).Seconds()/rateTime.Seconds())
}

// unseen returns how many requests all entries together send to a service, this one included, while a report is on its way.
func (e *Entry) unseen(service string, now time.Time) float64 {
	others := float64(e.budget.Entries() - 1)
	return 1 + others*e.rate.of(service, now)*reportLag.Seconds()
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
