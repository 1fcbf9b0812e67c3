package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

// plainPolicy is the rule for requests of one rank: first tries by the tightest goal of the active routes, retries by pressure.
type plainPolicy struct {
	goals    map[string]time.Duration
	seen     map[string]time.Time
	pressure float64
}

func (p *plainPolicy) record(req Request, now time.Time) {
	for route, at := range p.seen {
		if now.Sub(at) > 30*time.Second {
			delete(p.seen, route)
			delete(p.goals, route)
		}
	}
	p.goals[req.Route], p.seen[req.Route] = req.Goal, now
}

func (p *plainPolicy) admit(req Request, sinceFirst, queueDelay time.Duration) bool {
	tightest := req.Goal
	for _, goal := range p.goals {
		if goal > 0 {
			tightest = min(tightest, goal)
		}
	}
	if sinceFirst > 0 {
		share := 0.8 - (0.8-0.3)*min(1, p.pressure/0.1)
		return queueDelay <= time.Duration(share*float64(tightest))
	}
	admitted := queueDelay <= time.Duration(0.8*float64(tightest))
	refused := 1.0
	if admitted {
		refused = 0
	}
	p.pressure += 0.05 * (refused - p.pressure)
	return admitted
}

// TestOneRankIsDecidedAsWithoutRanks checks that where all requests have one rank, each decision is that of the plain rule, and that none
// overtakes another.
func TestOneRankIsDecidedAsWithoutRanks(t *testing.T) {
	for name, test := range map[string]struct {
		rank     int
		routes   int
		maxDelay time.Duration
	}{
		"calm, most urgent":         {0, 3, ms(200)},
		"overload, most urgent":     {0, 3, ms(700)},
		"overload, least urgent":    {9, 3, ms(700)},
		"one route":                 {2, 1, ms(500)},
		"many routes":               {1, 12, ms(500)},
		"far beyond the bound":      {4, 3, ms(5000)},
		"rank beyond the last":      {40, 3, ms(500)},
		"rank below the first":      {-1, 3, ms(500)},
		"routes with a goal of nil": {0, 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			p, plain := &Policy{}, &plainPolicy{goals: make(map[string]time.Duration), seen: make(map[string]time.Time)}
			now := start
			for i := range 20_000 {
				now = now.Add(time.Duration(r.ExpFloat64() * float64(ms(30))))
				if r.IntN(2000) == 0 {
					now = now.Add(time.Minute)
				}
				route := r.IntN(test.routes)
				req := Request{Route: string(rune('a' + route)), Goal: ms(100 + 150*(route%7)), Rank: test.rank, NoWait: ms(r.IntN(700))}
				p.Record(req, now)
				plain.record(req, now)
				since, delay := time.Duration(r.IntN(3)/2)*ms(900), time.Duration(r.Int64N(int64(test.maxDelay)+1))
				if s := p.Standing(req); s.Overtakes != 0 || s.Overtaken != 0 {
					t.Fatalf("request %d stands %+v", i, s)
				}
				if got, want := p.Admit(req, since, delay), plain.admit(req, since, delay); got != want {
					t.Fatalf("request %d: admitted %t after %s with a delay of %s, without ranks %t", i, got, since, delay, want)
				}
			}
		})
	}
}

// Requests of three ranks.
var (
	quote   = Request{Route: "quote", Goal: ms(400), Rank: 0}
	answer  = Request{Route: "answer", Goal: ms(400), Rank: 1}
	dossier = Request{Route: "dossier", Goal: ms(1000), Rank: 2}
)

// admitAll has the policy admit n first tries of each request.
func admitAll(p *Policy, n int, now time.Time, requests ...Request) {
	for range n {
		for _, req := range requests {
			p.Record(req, now)
			p.Admit(req, 0, 0)
		}
	}
}

func TestRanksAreLimitedByGoalsAsUrgent(t *testing.T) {
	tight := Request{Route: "tight", Goal: ms(200), Rank: 2}
	for name, test := range map[string]struct {
		seen  []Request
		req   Request
		delay time.Duration
		want  bool
	}{
		"tighter goal of a less urgent rank":        {[]Request{quote, tight}, quote, ms(310), true},
		"tighter goal of a more urgent rank":        {[]Request{quote, dossier}, dossier, ms(330), false},
		"within that goal":                          {[]Request{quote, dossier}, dossier, ms(310), true},
		"beyond the own goal":                       {[]Request{quote, dossier}, quote, ms(330), false},
		"tighter goal of the own rank":              {[]Request{dossier, tight}, dossier, ms(170), false},
		"route with requests of two ranks, tighter": {[]Request{{Route: "a", Goal: ms(200), Rank: 1}, {Route: "a", Goal: ms(900), Rank: 0}}, answer, ms(170), false},
	} {
		t.Run(name, func(t *testing.T) {
			var p Policy
			admitAll(&p, 5, start, test.seen...)
			if got := p.Admit(test.req, 0, test.delay); got != test.want {
				t.Errorf("admitted %t, want %t", got, test.want)
			}
		})
	}
}

// TestRefusedFloodShortensNoUrgentWait guards against urgent requests that are refused when they return, since a flood of less urgent ones
// was refused.
func TestRefusedFloodShortensNoUrgentWait(t *testing.T) {
	for name, test := range map[string]struct {
		flood, req Request
		want       bool
	}{
		"flood of a less urgent rank": {dossier, quote, true},
		"flood of the own rank":       {quote, quote, false},
		"flood of a more urgent rank": {quote, dossier, false},
	} {
		t.Run(name, func(t *testing.T) {
			var p Policy
			admitAll(&p, 5, start, quote, dossier)
			for range 100 {
				p.Record(test.flood, start)
				p.Admit(test.flood, 0, time.Hour)
			}
			if got := p.Admit(test.req, ms(900), ms(200)); got != test.want {
				t.Errorf("admitted %t after a first try was refused, want %t", got, test.want)
			}
		})
	}
}

// TestLessUrgentLeaveRoom checks that less urgent requests are admitted at shorter waits, the more of the more urgent ones are refused.
func TestLessUrgentLeaveRoom(t *testing.T) {
	for name, test := range map[string]struct {
		refused Request
		n       int
		req     Request
		delay   time.Duration
		want    bool
	}{
		"none refused":                           {quote, 0, dossier, ms(310), true},
		"a few of the most urgent":               {quote, 4, dossier, ms(210), false},
		"a few of the most urgent, short wait":   {quote, 4, dossier, ms(180), true},
		"many of the most urgent":                {quote, 40, dossier, ms(10), false},
		"many of the most urgent, no wait":       {quote, 40, dossier, 0, true},
		"many of the most urgent, free slot":     {quote, 40, Request{Route: "dossier", Goal: ms(1000), Rank: 2, NoWait: ms(90)}, ms(90), true},
		"many of the most urgent, short wait":    {quote, 40, Request{Route: "dossier", Goal: ms(1000), Rank: 2, NoWait: ms(90)}, ms(100), false},
		"free slot that is too slow":             {quote, 40, Request{Route: "dossier", Goal: ms(1000), Rank: 2, NoWait: ms(900)}, ms(400), false},
		"many of the most urgent, between":       {quote, 40, answer, ms(10), false},
		"many between, most urgent":              {answer, 20, quote, ms(310), true},
		"many of the least urgent, most urgent":  {dossier, 20, quote, ms(310), true},
		"many of the least urgent, least urgent": {dossier, 20, dossier, ms(310), true},
	} {
		t.Run(name, func(t *testing.T) {
			var p Policy
			admitAll(&p, 100, start, quote, answer, dossier)
			for range test.n {
				p.Record(test.refused, start)
				p.Admit(test.refused, 0, time.Hour)
			}
			if got := p.Admit(test.req, 0, test.delay); got != test.want {
				t.Errorf("admitted %t, want %t", got, test.want)
			}
		})
	}
}

func TestStanding(t *testing.T) {
	for name, test := range map[string]struct {
		n     int
		after time.Duration
		req   Request
		// Bounds of the shares.
		overtakesLeast, overtakesMost, overtakenLeast, overtakenMost float64
	}{
		"none seen":             {0, 0, quote, 0, 0, 0, 0},
		"few seen":              {1, 0, quote, 0.2, 0.4, 0, 0},
		"most urgent":           {100, 0, quote, 0.6, 0.7, 0, 0},
		"between":               {100, 0, answer, 0.3, 0.35, 0.3, 0.35},
		"least urgent":          {100, 0, dossier, 0, 0, 0.6, 0.7},
		"seen a long while ago": {100, time.Minute, quote, 0, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var p Policy
			admitAll(&p, test.n, start, quote, answer, dossier)
			p.Record(test.req, start.Add(test.after))
			s := p.Standing(test.req)
			if s.Rank != test.req.Rank || s.Overtakes < test.overtakesLeast || s.Overtakes > test.overtakesMost ||
				s.Overtaken < test.overtakenLeast || s.Overtaken > test.overtakenMost {
				t.Errorf("%+v", s)
			}
		})
	}
}

// TestNoRankIsStarved checks that a rank which gets far less than all is served as the most urgent until it gets more, and that others
// keep their rank.
func TestNoRankIsStarved(t *testing.T) {
	var p Policy
	refuse := func(n int) {
		for range n {
			p.Record(dossier, start)
			p.Admit(dossier, 0, time.Hour)
		}
	}
	refuse(leastTries - 1)
	admitAll(&p, 10, start, quote)
	if s := p.Standing(dossier); s.Rank != dossier.Rank {
		t.Errorf("after %d refusals: %+v", leastTries-1, s)
	}
	refuse(1)
	if s := p.Standing(dossier); s.Rank != 0 || s.Overtaken != 0 {
		t.Errorf("refused always: %+v", s)
	}
	if s := p.Standing(quote); s.Rank != 0 || s.Overtakes != 0 {
		t.Errorf("most urgent: %+v", s)
	}
	if p.Admit(dossier, 0, ms(330)) {
		t.Error("served as the most urgent, admitted beyond their goal")
	}
	if !p.Admit(dossier, 0, ms(310)) || !p.Admit(dossier, 0, ms(310)) {
		t.Error("served as the most urgent, not admitted")
	}
	if s := p.Standing(dossier); s.Rank != dossier.Rank || s.Overtaken == 0 {
		t.Errorf("admitted again: %+v", s)
	}
}

// TestSharesOfStarvedRanks plays a load in which the least urgent are refused for themselves: they keep about the least share, in small
// steps.
func TestSharesOfStarvedRanks(t *testing.T) {
	var p Policy
	now, admitted, row, longest := start, 0, 0, 0
	const n = 2000
	for i := range n {
		now = now.Add(ms(20))
		admitAll(&p, 2, now, quote)
		p.Record(dossier, now)
		delay := time.Hour
		if p.Standing(dossier).Rank == 0 {
			delay = 0
		}
		if p.Admit(dossier, 0, delay) {
			admitted, row = admitted+1, 0
		} else if row++; i > n/10 {
			longest = max(longest, row)
		}
	}
	if ofAll := float64(admitted) / n / (float64(2*n+admitted) / (3 * n)); ofAll < 0.25 || ofAll > 0.35 {
		t.Errorf("%.2f of what all get", ofAll)
	}
	if longest > 10 {
		t.Errorf("%d refused in a row", longest)
	}
}

// TestWhatWaitsIsMostlyLessUrgent checks that an urgent request overtakes what waits by the make-up of the entry's own requests that wait.
func TestWhatWaitsIsMostlyLessUrgent(t *testing.T) {
	for name, test := range map[string]struct {
		waiting     Waiting
		req         Request
		least, most float64
	}{
		"none wait: as admitted":       {Waiting{}, quote, 0.6, 0.7},
		"the least urgent wait":        {Waiting{2: 12}, quote, 0.95, 1},
		"the least urgent can't":       {Waiting{2: 12}, dossier, 0, 0},
		"between":                      {Waiting{0: 6, 2: 6}, answer, 0.4, 0.6},
		"the most urgent wait as well": {Waiting{0: 12}, quote, 0, 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			var p Policy
			admitAll(&p, 100, start, quote, answer, dossier)
			for range 50 {
				p.ObserveWaiting(test.waiting)
			}
			if got := p.Standing(test.req).Overtakes; got < test.least || got > test.most {
				t.Errorf("overtakes %.2f of what waits, want %.2f to %.2f", got, test.least, test.most)
			}
		})
	}
}
