package spread

import (
	"slices"
	"time"
)

// Sent counts requests of all clients, the current one included.
type Sent struct {
	// Unseen is the number of requests in flight that the latest reports do not include.
	Unseen float64
	// Over is the number of requests that the choice is spread over, at least Unseen.
	Over float64
}

// Pick returns the index of a server and the expected number of other unreported requests there. It chooses a server with
// the probability with which it would get one of sent.Over requests assigned greedily by cost, each adding addedCost;
// choosing the cheapest server would overload it until the next report. random is in [0, 1).
func Pick(costs []time.Duration, sent Sent, addedCost time.Duration, random float64) (index int, others float64) {
	chosen := Cheapest(costs)
	if sent.Over <= 1 {
		return chosen, 0
	}
	level := fillLevel(costs, sent.Over, addedCost)
	left := random * sent.Over
	for i, cost := range costs {
		if share := requestsToFill(cost, level, addedCost); share > 0 {
			chosen = i
			if left -= share; left < 0 {
				break
			}
		}
	}
	return chosen, requestsToFill(costs[chosen], level, addedCost) * (sent.Unseen - 1) / sent.Over
}

// Cheapest returns the index of the lowest cost.
func Cheapest(costs []time.Duration) int {
	best := 0
	for i, cost := range costs {
		if cost < costs[best] {
			best = i
		}
	}
	return best
}

// requestsToFill returns how many requests raise a server's cost to level, each adding addedCost.
func requestsToFill(cost, level, addedCost time.Duration) float64 {
	return max(0, float64(level-cost)/float64(addedCost))
}

// fillLevel returns the cost that the cheapest servers reach when requests are assigned greedily (water-filling).
func fillLevel(costs []time.Duration, requests float64, addedCost time.Duration) time.Duration {
	costs = slices.Sorted(slices.Values(costs))
	sum := time.Duration(0)
	level := time.Duration(0)
	for i, cost := range costs {
		if i > 0 && level <= cost {
			break
		}
		sum += cost
		level = (sum + time.Duration(requests*float64(addedCost))) / time.Duration(i+1)
	}
	return level
}
