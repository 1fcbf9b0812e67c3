package admission

import (
	"testing"
	"time"
)

// TestSlotsAreKeptForMoreUrgentRequests guards against an entry that sees no urgent request and fills all slots with less urgent ones,
// while other entries have to refuse urgent requests.
func TestSlotsAreKeptForMoreUrgentRequests(t *testing.T) {
	const noWait = 90 * time.Millisecond
	fewSlots := Request{Route: "dossier", Goal: ms(1000), Rank: 2, NoWait: noWait, SlotWait: ms(190), ServiceGoal: ms(400)}
	manySlots, mostUrgent := fewSlots, fewSlots
	manySlots.SlotWait, mostUrgent.Rank = ms(50), 0
	busy, full := Demand{Queued: 1, FreeSlots: reservedSlots + 1, Reported: true}, Demand{Queued: 1, FreeSlots: reservedSlots, Reported: true}
	for name, test := range map[string]struct {
		req    Request
		demand Demand
		// known is for how long the demand has been known.
		known time.Duration
		// refused is how many requests of the rank were refused before.
		refused int
		delay   time.Duration
		want    bool
	}{
		"none waits":                           {fewSlots, Demand{Reported: true}, time.Minute, 100, ms(700), true},
		"none waits, no free slot":             {fewSlots, Demand{Reported: true}, time.Minute, 100, noWait, true},
		"others wait, free slots":              {fewSlots, busy, time.Minute, 100, noWait, true},
		"others wait, it would wait too":       {fewSlots, busy, time.Minute, 100, ms(200), false},
		"others wait, the last free slots":     {fewSlots, full, time.Minute, 100, noWait, false},
		"others wait, few are refused":         {fewSlots, full, time.Minute, 0, ms(200), true},
		"others wait, most urgent":             {mostUrgent, full, time.Minute, 100, ms(200), true},
		"others wait, many slots":              {manySlots, full, time.Minute, 100, ms(200), true},
		"an entry that starts, no reports yet": {fewSlots, Demand{FreeSlots: 100}, 0, 0, noWait, false},
		"an entry that starts, others wait":    {fewSlots, busy, 0, 0, ms(200), false},
		"an entry that starts, none waits":     {fewSlots, Demand{FreeSlots: 100, Reported: true}, 0, 0, noWait, true},
		"no reports for long":                  {fewSlots, Demand{FreeSlots: 100}, time.Minute, 100, ms(200), true},
	} {
		t.Run(name, func(t *testing.T) {
			var p Policy
			for i := range 100 {
				p.Record(test.req, start.Add(test.known*time.Duration(i)/100))
				p.ObserveDemand(test.demand)
			}
			for range test.refused {
				p.Admit(test.req, 0, time.Hour)
			}
			if got := p.Admit(test.req, 0, test.delay); got != test.want {
				t.Errorf("admitted %t, want %t", got, test.want)
			}
		})
	}
}

// TestContended guards against less urgent requests that leave retries to others while there is room for all.
func TestContended(t *testing.T) {
	for name, test := range map[string]struct {
		demand Demand
		want   bool
	}{
		"none waits":                      {Demand{Reported: true}, false},
		"others wait, free slots":         {Demand{Queued: 1, FreeSlots: reservedSlots + 1, Reported: true}, false},
		"others wait, the last free slot": {Demand{Queued: 1, FreeSlots: 1, Reported: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var p Policy
			for i := range 100 {
				p.Record(quote, start.Add(time.Duration(i)*time.Second))
				p.ObserveDemand(test.demand)
			}
			if got := p.Contended(); got != test.want {
				t.Errorf("contended: %t, want %t", got, test.want)
			}
		})
	}
}
