package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// refusedAt is a refusal at the start of a request that was tried first so long before, whose caller waits so long more.
func refusedAt(key uint64, before, left time.Duration) Refusal {
	return Refusal{Print: key, First: start.Add(-before), Ends: start.Add(left)}
}

func TestReturnsAreTold(t *testing.T) {
	refusal := refusedAt(7, ms(200), ms(5000))
	for name, test := range map[string]struct {
		refusals []Refusal
		print    uint64
		at, left time.Duration
		want     bool
	}{
		"a return":                                      {[]Refusal{refusal}, 7, ms(900), ms(4100), true},
		"the way took a little longer":                  {[]Refusal{refusal}, 7, ms(900), ms(4085), true},
		"nothing was refused":                           {nil, 7, ms(900), ms(4100), false},
		"another request":                               {[]Refusal{refusal}, 8, ms(900), ms(4100), false},
		"one like it, of a caller that came later":      {[]Refusal{refusal}, 7, ms(900), ms(5000), false},
		"one like it, of a caller that waits less":      {[]Refusal{refusal}, 7, ms(900), ms(3000), false},
		"of two that are alike the one whose time ends": {[]Refusal{refusedAt(7, 0, ms(5500)), refusal}, 7, ms(900), ms(4100), true},
		"long after":                                    {[]Refusal{refusal}, 7, ms(4500), ms(500), false},
	} {
		t.Run(name, func(t *testing.T) {
			var r Returns
			for _, refusal := range test.refusals {
				r.Note(refusal, start)
			}
			now := start.Add(test.at)
			first, ok := r.Take(test.print, now.Add(test.left), now)
			if ok != test.want || ok && !first.Equal(refusal.First) {
				t.Errorf("%t, first tried at %s; want %t", ok, first.Sub(start), test.want)
			}
			if _, again := r.Take(test.print, now.Add(test.left), now); again {
				t.Error("it returns twice for one refusal")
			}
		})
	}
}

func TestRefusalsAreBounded(t *testing.T) {
	var r Returns
	for i := range 2 * mostRefusals {
		r.Note(refusedAt(uint64(i), 0, ms(5000)), start)
	}
	if len(r.order) > mostRefusals || len(r.of) > mostRefusals {
		t.Errorf("%d and %d are remembered", len(r.order), len(r.of))
	}
	r.Note(refusedAt(1, 0, ms(5000)), start.Add(returnsWithin+time.Second))
	if len(r.order) != 1 || len(r.of) != 1 {
		t.Errorf("%d and %d are remembered after a while", len(r.order), len(r.of))
	}
}

// TestReturnsOfAnyPatience proves that returns are told from first tries whatever callers' patience is, also where a third of
// them ask the same: at most 2 in 100 are taken for what they are not. By the longest time told of its kind 78 in 100 first tries
// were taken for returns where patience differs by 15 in 100.
func TestReturnsOfAnyPatience(t *testing.T) {
	const callers, rate, wait = 20000, 300, 6 * time.Second
	for name, spread := range map[string]float64{"alike": 0, "by 0.15": 0.15, "by 0.4": 0.4} {
		t.Run(name, func(t *testing.T) {
			turns := rand.New(rand.NewPCG(1, uint64(spread*100)))
			type try struct {
				at      time.Time
				print   uint64
				ends    time.Time
				returns bool
			}
			var r Returns
			var back []try
			wrong, asked := 0, 0
			now := start
			meet := func(one try) {
				jitter := time.Duration(turns.IntN(8)) * time.Millisecond
				_, told := r.Take(one.print, one.ends.Add(jitter), one.at)
				asked++
				if told != one.returns {
					wrong++
				}
				if !one.returns && turns.IntN(4) == 0 {
					r.Note(Refusal{Print: one.print, First: one.at, Ends: one.ends}, one.at)
					after := ms(400 + turns.IntN(900))
					back = append(back, try{at: one.at.Add(after), print: one.print, ends: one.ends, returns: true})
				}
			}
			for i := range callers {
				now = now.Add(time.Duration(turns.ExpFloat64() / rate * float64(time.Second)))
				for len(back) > 0 && back[0].at.Before(now) {
					one := back[0]
					back = back[1:]
					meet(one)
				}
				key := uint64(i) + 1000
				if turns.IntN(3) == 0 {
					key = 1 + uint64(turns.IntN(20))
				}
				patience := time.Duration((1 - spread*turns.Float64()) * float64(wait)).Round(time.Millisecond)
				meet(try{at: now, print: key, ends: now.Add(patience)})
			}
			if share := float64(wrong) / float64(asked); share > 0.02 {
				t.Errorf("%.1f in 100 told wrongly", 100*share)
			} else {
				t.Log(fmt.Sprintf("%.2f in 100 told wrongly", 100*share))
			}
		})
	}
}
