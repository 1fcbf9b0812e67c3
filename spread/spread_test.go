package spread

import (
	"testing"
	"time"
)

const adds = 50 * time.Millisecond

func ms(costs ...int) []time.Duration {
	var of []time.Duration
	for _, cost := range costs {
		of = append(of, time.Duration(cost)*time.Millisecond)
	}
	return of
}

// TestPickSpreads proves that a choice goes to servers that are alike evenly, and how far it reaches: over more than what is unseen,
// servers that cost a little more get their part, and the others that are expected at a server follow what is unseen alone.
func TestPickSpreads(t *testing.T) {
	const turns = 1000
	for name, test := range map[string]struct {
		costs []time.Duration
		sent  Sent
		// first is the share of turns that the first server gets, others what it gets of others.
		first, others float64
	}{
		"alone, the best":                     {ms(100, 101), Sent{1, 1}, 1, 0},
		"alike":                               {ms(100, 100), Sent{3, 3}, 0.5, 1},
		"one that costs more gets less":       {ms(100, 150), Sent{3, 3}, 2. / 3, 4. / 3},
		"and more where the choice is spread": {ms(100, 150), Sent{3, 9}, 5. / 9, 10. / 9},
		"one that costs far more gets none":   {ms(100, 900), Sent{3, 9}, 1, 2},
	} {
		t.Run(name, func(t *testing.T) {
			taken, expected := 0, 0.0
			for turn := range turns {
				place, others := Pick(test.costs, test.sent, adds, (float64(turn)+0.5)/turns)
				if place == 0 {
					taken, expected = taken+1, others
				}
			}
			if share := float64(taken) / turns; share < test.first-0.01 || share > test.first+0.01 {
				t.Errorf("the first server gets %.3f, want %.3f", share, test.first)
			}
			if expected < test.others-0.01 || expected > test.others+0.01 {
				t.Errorf("%.3f others are expected there, want %.3f", expected, test.others)
			}
		})
	}
}
