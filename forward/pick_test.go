package forward

import (
	"testing"
	"time"

	"github.com/coralstair/coralstair/balance"
	"github.com/coralstair/coralstair/contract"
)

func TestPick(t *testing.T) {
	const addedCost = 50 * time.Millisecond
	withCosts := func(costs ...time.Duration) []choice {
		var choices []choice
		for i, cost := range costs {
			choices = append(choices, choice{server: contract.Server{ID: serverName(i)}, cost: cost * time.Millisecond})
		}
		return choices
	}
	for name, test := range map[string]struct {
		choices    []choice
		unreported float64
		// least and most bound how many of 1,000 requests the first server gets.
		least, most int
	}{
		"one request":                 {withCosts(100, 101, 300), 1, 990, 1000},
		"equal costs":                 {withCosts(100, 100, 100, 100), 8, 200, 300},
		"idle server is filled first": {withCosts(0, 200, 200, 200), 4, 990, 1000},
		"others get the excess":       {withCosts(0, 100, 100, 100), 10, 350, 450},
		"much higher cost":            {withCosts(900, 100, 100), 4, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			taken := 0
			for range 1000 {
				if pick(test.choices, balance.InFlight{Unreported: test.unreported, Window: test.unreported}, addedCost).server.ID == serverName(0) {
					taken++
				}
			}
			if taken < test.least || taken > test.most {
				t.Errorf("chosen %d times of 1000, want %d to %d", taken, test.least, test.most)
			}
		})
	}
}

func TestUnseenFollowsWhatOthersHaveAtTheServers(t *testing.T) {
	usual := &contract.Engine{Slots: 16, Step: 7 * time.Millisecond, ReadRate: 30000, UsualPrompt: 900, UsualAnswer: 120}
	for name, test := range map[string]struct {
		at          requestCounts
		least, most float64
	}{
		"no server":                {requestCounts{}, 1, 1},
		"no other entries":         {requestCounts{servers: 12, own: 100}, 1, 1},
		"most from others":         {requestCounts{servers: 12, own: 35, others: 140}, 8, 12},
		"half from others":         {requestCounts{servers: 12, own: 85, others: 90}, 5, 8},
		"own requests all refused": {requestCounts{servers: 12, own: 0, others: 175}, 10, 15},
		"few requests":             {requestCounts{servers: 12, own: 2, others: 4}, 1, 2},
	} {
		t.Run(name, func(t *testing.T) {
			if got := test.at.estimateInFlight(usual).Unreported; got < test.least || got > test.most {
				t.Errorf("%.2f unseen, want %.0f to %.0f", got, test.least, test.most)
			}
		})
	}
}
