package admission

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Requests on two routes of one service.
var (
	long  = Request{Route: "long", Goal: ms(400)}
	short = Request{Route: "short", Goal: ms(300)}
)

// refusePercent has the policy refuse a percentage of first tries until its pressure has settled.
func refusePercent(p *Policy, percent int) {
	for i := range 400 {
		queueDelay := time.Duration(0)
		if i*percent%100 < percent {
			queueDelay = time.Hour
		}
		p.Record(long, start)
		p.Admit(long, 0, queueDelay)
	}
}

func TestIdleRoutesExpire(t *testing.T) {
	var p Policy
	p.Record(short, start)
	p.Record(long, start.Add(routeTTL+time.Second))
	if !p.Admit(long, 0, ms(310)) {
		t.Error("the goal of an idle route still limits other routes")
	}
}

func TestAdmit(t *testing.T) {
	for name, test := range map[string]struct {
		percent int
		req     Request
		since   time.Duration
		delay   time.Duration
		want    bool
	}{
		"first try that meets its goal":                                {0, long, 0, ms(200), true},
		"first try that misses its goal":                               {0, long, 0, ms(400), false},
		"route with a wider goal is limited by the tightest one":       {0, long, 0, ms(260), false},
		"route with the tightest goal":                                 {0, short, 0, ms(230), true},
		"retry without pressure is treated as a first try":             {0, long, ms(900), ms(200), true},
		"retry under full pressure is refused":                         {20, long, ms(900), ms(200), false},
		"first try under full pressure is admitted":                    {20, long, 0, ms(200), true},
		"retry under full pressure with a short delay is admitted":     {20, long, ms(900), ms(80), true},
		"retry under partial pressure with a medium delay is admitted": {5, long, ms(900), ms(150), true},
		"retry under partial pressure with a long delay is refused":    {5, long, ms(900), ms(230), false},
	} {
		t.Run(name, func(t *testing.T) {
			var p Policy
			p.Record(short, start)
			refusePercent(&p, test.percent)
			if got := p.Admit(test.req, test.since, test.delay); got != test.want {
				t.Errorf("admitted %t, want %t; pressure %.3f", got, test.want, p.Pressure())
			}
		})
	}
}

func TestPressureCountsFirstTriesOnly(t *testing.T) {
	var p Policy
	refusePercent(&p, 30)
	before := p.Pressure()
	for range 100 {
		p.Admit(long, ms(900), time.Hour)
	}
	if p.Pressure() != before {
		t.Errorf("retries changed the pressure from %.3f to %.3f", before, p.Pressure())
	}
}

func TestServicesHaveSeparatePolicies(t *testing.T) {
	var s Services
	refusePercent(s.Of("a"), 50)
	if s.Of("a").Pressure() == 0 || s.Of("b").Pressure() != 0 {
		t.Errorf("pressures %.2f and %.2f", s.Of("a").Pressure(), s.Of("b").Pressure())
	}
}
