package spread

import (
	"slices"
	"time"
)

// Sent is how many requests all choosers send, the one at hand included.
type Sent struct {
	// Unseen is how many are on their way that the reports at hand do not show.
	Unseen float64
	// Over is over how many the choice is spread, at least Unseen.
	Over float64
}

// Pick returns the place of a server, and how many requests of others it is likely to get beside this one. All choosers see
// the same server as the best one; if each took it, it would get all that is sent until the next report. So each takes a server as
// often as it would get one of the requests spread over if these went one after the other to where they cost least, each
// adding so much there. Turn is a random number below 1.
func Pick(costs []time.Duration, sent Sent, adds time.Duration, turn float64) (place int, others float64) {
	chosen := Cheapest(costs)
	if sent.Over <= 1 {
		return chosen, 0
	}
	filled := level(costs, sent.Over, adds)
	left := turn * sent.Over
	for i, cost := range costs {
		if share := shareOf(cost, filled, adds); share > 0 {
			chosen = i
			if left -= share; left < 0 {
				break
			}
		}
	}
	return chosen, shareOf(costs[chosen], filled, adds) * (sent.Unseen - 1) / sent.Over
}

// Cheapest returns the place of the least cost.
func Cheapest(costs []time.Duration) int {
	best := 0
	for i, cost := range costs {
		if cost < costs[best] {
			best = i
		}
	}
	return best
}

// shareOf returns how many requests fill a server up to a cost.
func shareOf(cost, filled, adds time.Duration) float64 {
	return max(0, float64(filled-cost)/float64(adds))
}

// level returns the cost up to which so many requests fill the servers, each adding so much.
func level(costs []time.Duration, requests float64, adds time.Duration) time.Duration {
	costs = slices.Sorted(slices.Values(costs))
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
