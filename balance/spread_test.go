package balance

import (
	"testing"
	"time"
)

const addedCost = 50 * time.Millisecond

func ms(costs ...int) []time.Duration {
	var durations []time.Duration
	for _, cost := range costs {
		durations = append(durations, time.Duration(cost)*time.Millisecond)
	}
	return durations
}

// TestPickSpreads checks the probability of each server and the expected other requests there: equal servers get equal
// shares, and a wider spread includes more expensive servers.
func TestPickSpreads(t *testing.T) {
	const samples = 1000
	for name, test := range map[string]struct {
		costs []time.Duration
		sent  InFlight
		// first is the first server's probability, others the expected number of other requests there.
		first, others float64
	}{
		"single request: cheapest":   {ms(100, 101), InFlight{1, 1}, 1, 0},
		"equal costs":                {ms(100, 100), InFlight{3, 3}, 0.5, 1},
		"higher cost, smaller share": {ms(100, 150), InFlight{3, 3}, 2. / 3, 4. / 3},
		"higher cost, wider spread":  {ms(100, 150), InFlight{3, 9}, 5. / 9, 10. / 9},
		"much higher cost, no share": {ms(100, 900), InFlight{3, 9}, 1, 2},
	} {
		t.Run(name, func(t *testing.T) {
			taken, expected := 0, 0.0
			for i := range samples {
				index, others := Pick(test.costs, test.sent, addedCost, (float64(i)+0.5)/samples)
				if index == 0 {
					taken, expected = taken+1, others
				}
			}
			if share := float64(taken) / samples; share < test.first-0.01 || share > test.first+0.01 {
				t.Errorf("the first server gets %.3f, want %.3f", share, test.first)
			}
			if expected < test.others-0.01 || expected > test.others+0.01 {
				t.Errorf("%.3f other requests are expected there, want %.3f", expected, test.others)
			}
		})
	}
}
