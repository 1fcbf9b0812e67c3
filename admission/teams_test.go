package admission

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// teamRequests are requests of a team at one time, each of 100 ms of work; the first few are admitted.
type teamRequests struct {
	team            string
	asked, admitted int
	at              time.Duration
	retries         bool
}

const teamTestWork = 100 * time.Millisecond

func (t *Teams) play(start time.Time, requests ...teamRequests) {
	for _, r := range requests {
		for i := range r.asked {
			ask := Ask{Team: r.team, Work: teamTestWork, Retry: r.retries}
			t.Record(ask, start.Add(r.at))
			t.Decided(ask, i < r.admitted, i < r.admitted, start.Add(r.at))
		}
	}
}

func TestTeamShares(t *testing.T) {
	const s = time.Second
	start := time.Unix(1000, 0)
	flood, small := teamRequests{team: "flood", asked: 100, admitted: 30}, teamRequests{team: "small", asked: 2, admitted: 2}
	for name, test := range map[string]struct {
		requests []teamRequests
		told     map[string]TeamUse
		toldAt   time.Duration
		at       time.Duration
		team     string
		bounded  bool
		share    time.Duration
	}{
		"a flood over its share":            {[]teamRequests{flood, {team: "large", asked: 60, admitted: 10}}, nil, 0, s, "flood", true, 2 * s},
		"a team under its share":            {[]teamRequests{flood, {team: "large", asked: 60, admitted: 10}}, nil, 0, s, "large", false, 2 * s},
		"what small teams leave is shared":  {[]teamRequests{flood, small, {team: "large", asked: 60, admitted: 12}}, nil, 0, s, "flood", true, 2100 * time.Millisecond},
		"a team that was not there":         {[]teamRequests{flood, {team: "large", asked: 60, admitted: 10}}, nil, 0, s, "new", false, 2 * s},
		"others' room that nobody asks for": {[]teamRequests{flood}, nil, 0, s, "flood", false, 3 * s},
		"no first try is refused":           {[]teamRequests{{team: "flood", asked: 30, admitted: 30}, {team: "x", asked: 5, admitted: 5}}, nil, 0, s, "flood", false, math.MaxInt64},
		"only retries are refused": {
			[]teamRequests{{team: "flood", asked: 30, admitted: 30}, {team: "x", asked: 5, admitted: 0, retries: true}}, nil, 0, s, "flood", false, 2500 * time.Millisecond,
		},
		"one in a hundred is refused": {
			[]teamRequests{{team: "flood", asked: 99, admitted: 98}, {team: "x", asked: 1, admitted: 1}}, nil, 0, s, "flood", false, 9800 * time.Millisecond,
		},
		"the window has passed": {[]teamRequests{flood, {team: "large", asked: 60, admitted: 10}}, nil, 0, 3 * s, "flood", false, math.MaxInt64},
		"used at another entry": {
			[]teamRequests{{team: "flood", asked: 10, admitted: 1}, {team: "large", asked: 30, admitted: 3}},
			map[string]TeamUse{"flood": {Asked: 9 * s, Admitted: 3 * s}},
			0, s, "flood", true, 1700 * time.Millisecond,
		},
		"used at another entry that fell silent": {
			[]teamRequests{{team: "flood", asked: 10, admitted: 1, at: 4 * s}, {team: "large", asked: 30, admitted: 3, at: 4 * s}},
			map[string]TeamUse{"flood": {Asked: 9 * s, Admitted: 3 * s}},
			0, 5 * s, "flood", false, 200 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			var teams Teams
			teams.play(start, test.requests...)
			if test.told != nil {
				teams.Hear("other", test.told, start.Add(test.toldAt))
			}
			got := teams.Share(test.team, start.Add(test.at))
			if got.Bounded != test.bounded || got.Share != test.share {
				t.Errorf("bounded %v, share %v (used %v), want %v, %v", got.Bounded, got.Share, got.Admitted, test.bounded, test.share)
			}
		})
	}
}

// TestTeamChanges checks that the begin and the end of a team's bound are reported once each, also while it asks no more.
func TestTeamChanges(t *testing.T) {
	start := time.Unix(1000, 0)
	var teams Teams
	teams.play(start, teamRequests{team: "flood", asked: 100, admitted: 30}, teamRequests{team: "large", asked: 60, admitted: 10})
	for range 3 {
		teams.Share("flood", start.Add(time.Second))
	}
	changes, bounded := teams.Changes(start.Add(time.Second))
	if len(changes) != 1 || !bounded || changes[0].Team != "flood" || !changes[0].Bounded || fmt.Sprint(changes[0].Largest) != "[flood large]" {
		t.Errorf("changes %+v, bounded %v; want one of the flood", changes, bounded)
	}
	if changes, bounded = teams.Changes(start.Add(2 * time.Second)); len(changes) != 0 || !bounded {
		t.Errorf("changes %+v, bounded %v within the window", changes, bounded)
	}
	changes, bounded = teams.Changes(start.Add(4 * time.Second))
	if len(changes) != 1 || bounded || changes[0].Team != "flood" || changes[0].Bounded {
		t.Errorf("changes %+v, bounded %v; want the end of the flood's bound", changes, bounded)
	}
}

// TestEndOfABoundIsTold checks that a bound which no request met for a window is told as ended, though the team is still over its share by
// what it uses at other entries.
func TestEndOfABoundIsTold(t *testing.T) {
	start := time.Unix(1000, 0)
	var teams Teams
	teams.play(start, teamRequests{team: "flood", asked: 100, admitted: 30}, teamRequests{team: "large", asked: 60, admitted: 10})
	teams.Share("flood", start.Add(time.Second))
	teams.Changes(start.Add(time.Second))
	later := start.Add(2900 * time.Millisecond)
	teams.Hear("another", map[string]TeamUse{"flood": {Asked: 100 * time.Second, Admitted: 50 * time.Second}}, later)
	teams.play(later, teamRequests{team: "large", asked: 60, admitted: 10})
	changes, _ := teams.Changes(later.Add(200 * time.Millisecond))
	if len(changes) != 1 || changes[0].Team != "flood" || changes[0].Bounded {
		t.Errorf("changes %+v, want the end of the flood's bound", changes)
	}
}

// TestTeamsAreBounded checks that many names neither fill memory nor messages, and that a team beyond the bound is never bounded.
func TestTeamsAreBounded(t *testing.T) {
	start := time.Unix(1000, 0)
	var teams Teams
	for i := range 2 * maxTeams {
		teams.play(start, teamRequests{team: fmt.Sprint(i), asked: 1 + i%7, admitted: i % 2})
	}
	if n := len(teams.own); n > maxTeams {
		t.Errorf("%d teams are counted, want at most %d", n, maxTeams)
	}
	if n := len(teams.Use(start)); n != MaxToldTeams {
		t.Errorf("%d teams are told of, want %d", n, MaxToldTeams)
	}
	if teams.Share(fmt.Sprint(2*maxTeams-1), start).Bounded {
		t.Error("a team that is not counted is bounded")
	}
	if teams.Use(start.Add(time.Minute)) != nil || len(teams.own) != 0 {
		t.Errorf("%d teams are kept after a minute without requests", len(teams.own))
	}
}

// TestReturnsAtOnce checks that a team gets its share at once when it comes back, and that what another one borrowed is given back
// within a window.
func TestReturnsAtOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	var teams Teams
	step, at := 100*time.Millisecond, time.Duration(0)
	for ; at < 5*time.Second; at += step {
		teams.play(start, teamRequests{team: "borrows", asked: 10, admitted: 5, at: at})
		if teams.Share("borrows", start.Add(at)).Bounded {
			t.Fatalf("the only team that asks is bounded after %v", at)
		}
	}
	boundedAfter := time.Duration(0)
	for back := at; at < back+2*time.Second; at += step {
		if s := teams.Share("returns", start.Add(at)); s.Bounded {
			t.Fatalf("the team that returns is bounded after %v: %+v", at-back, s)
		}
		teams.play(start, teamRequests{team: "returns", asked: 3, admitted: 2, at: at}, teamRequests{team: "borrows", asked: 10, admitted: 3, at: at})
		if teams.Share("borrows", start.Add(at)).Bounded {
			boundedAfter = at - back
			break
		}
	}
	if boundedAfter > teamWindow/2 {
		t.Errorf("the team that borrowed is bounded %v after the other came back", boundedAfter)
	}
}

// TestABoundedFirstTryCountsAsPressure checks that a bounded first try counts in the pressure by whether there was room for a first try, so
// that a bound neither ends while there is none nor keeps itself up once there is.
func TestABoundedFirstTryCountsAsPressure(t *testing.T) {
	var p Policy
	req := Request{Route: "r", Goal: time.Second}
	for range 100 {
		p.AdmitBounded(req, 0, 900*time.Millisecond)
	}
	if p.Pressure() < saturatedPressure {
		t.Errorf("pressure %.2f after first tries without room", p.Pressure())
	}
	if admitted, room := p.AdmitBounded(req, 0, 500*time.Millisecond); admitted || !room {
		t.Errorf("admitted %v, room %v at more than a bounded team may wait", admitted, room)
	}
	if admitted, _ := p.AdmitBounded(req, 0, 400*time.Millisecond); !admitted || !p.Admit(req, 0, 700*time.Millisecond) {
		t.Error("a bounded team does not wait that long, or another one not as long as a first try")
	}
	for range 200 {
		p.AdmitBounded(req, 0, 700*time.Millisecond)
	}
	if admitted, _ := p.AdmitBounded(req, 0, 700*time.Millisecond); !admitted {
		t.Error("a team is still bounded after 200 first tries with room")
	}
}
