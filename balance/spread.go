package balance

import (
	"slices"
	"time"
)

// InFlight counts requests of all clients, the current one included.
type InFlight struct {
	// Unreported is the number of requests in flight that the latest reports do not include.
	Unreported float64
	// Window is the number of requests that the choice is spread over, at least Unreported.
	Window float64
}

// Pick returns the index of a server and the expected number of other unreported requests there. It chooses a server with
// the probability with which it would get one of sent.Window requests assigned greedily by cost, each adding addedCost;
// choosing the cheapest server would overload it until the next report. random is in [0, 1).
func Pick(costs []time.Duration, sent InFlight, addedCost time.Duration, random float64) (index int, others float64) {
	chosen := Cheapest(costs)
	if sent.Window <= 1 {
		return chosen, 0
	}
	level := fillLevel(costs, sent.Window, addedCost)
	left := random * sent.Window
	for i, cost := range costs {
		if share := requestsToFill(cost, level, addedCost); share > 0 {
			chosen = i
			if left -= share; left < 0 {
				break
			}
		}
	}
	return chosen, requestsToFill(costs[chosen], level, addedCost) * (sent.Unreported - 1) / sent.Window
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
