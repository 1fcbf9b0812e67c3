package admission

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// kinds are two kinds of request of one service.
var (
	long  = Ask{Kind: "long", Goal: ms(400)}
	short = Ask{Kind: "short", Goal: ms(300)}
)

// refuse has so many of a hundred first tries be refused, for as long as it takes to be known.
func refuse(p *Policy, percent int) {
	for i := range 400 {
		ahead := time.Duration(0)
		if i*percent%100 < percent {
			ahead = time.Hour
		}
		p.Note(long, start)
		p.LetIn(long, 0, ahead)
	}
}

func TestKindsThatNoLongerComeAreForgotten(t *testing.T) {
	var p Policy
	p.Note(short, start)
	p.Note(long, start.Add(kindLife+time.Second))
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
			p.Note(short, start)
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
