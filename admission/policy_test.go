package admission

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// kinds are two kinds of request of one service.
var (
	long  = Ask{Kind: "long", Goal: ms(400), Wait: ms(6000)}
	short = Ask{Kind: "short", Goal: ms(300), Wait: ms(6000)}
)

func (a Ask) withWait(wait time.Duration) Ask {
	a.Wait = wait
	return a
}

// refuse has so many of a hundred first tries be refused, for as long as it takes to be known.
func refuse(p *Policy, percent int) {
	for i := range 400 {
		ahead := time.Duration(0)
		if i*percent%100 < percent {
			ahead = time.Hour
		}
		p.LetIn(long, p.Waited(long, start), ahead)
	}
}

func TestWaitedTellsReturns(t *testing.T) {
	for name, test := range map[string]struct {
		before []time.Duration
		wait   time.Duration
		want   time.Duration
	}{
		"the first of its kind":                   {nil, ms(6000), 0},
		"as long as others":                       {[]time.Duration{ms(6000)}, ms(6000), 0},
		"a little shorter: the way took that":     {[]time.Duration{ms(6000)}, ms(5970), 0},
		"shorter by the time since its refusal":   {[]time.Duration{ms(6000)}, ms(5100), ms(900)},
		"longer than any before":                  {[]time.Duration{ms(3000)}, ms(6000), 0},
		"one that does not say is none":           {[]time.Duration{ms(6000)}, 0, 0},
		"after one that does not say nothing new": {[]time.Duration{0}, ms(6000), 0},
	} {
		t.Run(name, func(t *testing.T) {
			var p Policy
			for _, wait := range test.before {
				p.Waited(long.withWait(wait), start)
			}
			if got := p.Waited(long.withWait(test.wait), start); got != test.want {
				t.Errorf("waited %s, want %s", got, test.want)
			}
		})
	}
}

func TestKindsThatNoLongerComeAreForgotten(t *testing.T) {
	var p Policy
	p.Waited(short, start)
	later := start.Add(kindLife + time.Second)
	if waited := p.Waited(short.withWait(ms(2000)), later); waited != 0 {
		t.Errorf("%s taken for the time since a first try of long ago", waited)
	}
	p.Waited(long, later.Add(kindLife+time.Second))
	if !p.LetIn(long, 0, ms(310)) {
		t.Error("the goal of a kind that no longer comes binds others")
	}
}

func TestLetIn(t *testing.T) {
	for name, test := range map[string]struct {
		refused int
		ask     Ask
		waited  time.Duration
		ahead   time.Duration
		want    bool
	}{
		"a first try that will be in time":                          {0, long, 0, ms(200), true},
		"one that will not":                                         {0, long, 0, ms(400), false},
		"a kind with a wider goal is bound by the tighter one":      {0, long, 0, ms(260), false},
		"the kind with the tighter goal alike":                      {0, short, 0, ms(230), true},
		"a return after a jam is let in like a first try":           {0, long, ms(900), ms(200), true},
		"a return while first tries are refused is not":             {20, long, ms(900), ms(200), false},
		"a first try then is":                                       {20, long, 0, ms(200), true},
		"a return then is where servers are nearly free":            {20, long, ms(900), ms(80), true},
		"a return while few first tries are refused: in between":    {5, long, ms(900), ms(150), true},
		"a return while few first tries are refused: but not as it": {5, long, ms(900), ms(230), false},
	} {
		t.Run(name, func(t *testing.T) {
			var p Policy
			p.Waited(short, start)
			refuse(&p, test.refused)
			if got := p.LetIn(test.ask, test.waited, test.ahead); got != test.want {
				t.Errorf("let in %t, want %t; pressure %.3f", got, test.want, p.Pressure())
			}
		})
	}
}

func TestPressureIsOfFirstTriesOnly(t *testing.T) {
	var p Policy
	refuse(&p, 30)
	before := p.Pressure()
	for range 100 {
		p.LetIn(long, ms(900), time.Hour)
	}
	if p.Pressure() != before {
		t.Errorf("returns changed the pressure from %.3f to %.3f", before, p.Pressure())
	}
}

func TestEachServiceHasAPolicyOfItsOwn(t *testing.T) {
	var s Services
	refuse(s.Of("a"), 50)
	if s.Of("a").Pressure() == 0 || s.Of("b").Pressure() != 0 {
		t.Errorf("pressures %.2f and %.2f", s.Of("a").Pressure(), s.Of("b").Pressure())
	}
}
