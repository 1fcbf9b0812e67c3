package forward

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"github.com/coralstair/coralstair/admission"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/link"
)

var teamsEngine = &contract.Engine{Slots: 10, Step: 10 * time.Millisecond, ReadRate: 1e4, UsualPrompt: 1000, UsualAnswer: 50}

// teamCall returns a call of a team to a service whose requests differ in rank or not.
func teamCall(e *Entry, team string, rank int, ranked bool) *call {
	return &call{
		entry: e, route: &contract.Route{Name: "r", Goal: time.Second}, service: &contract.Service{Name: "s", Engine: teamsEngine},
		team: &contract.Team{Name: team}, rank: rank, ranked: ranked,
	}
}

func TestRequestWork(t *testing.T) {
	for name, test := range map[string]struct {
		prompt, answer int
		want           time.Duration
	}{
		"usual, as nothing is known": {0, 0, 150 * time.Millisecond},
		"large prompt":               {10000, 50, 1050 * time.Millisecond},
		"long answer":                {1000, 500, 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			if got := requestWork(teamsEngine, test.prompt, test.answer); got != test.want {
				t.Errorf("%v of work, want %v", got, test.want)
			}
		})
	}
}

// TestNoSharesWhereCallersDoNotCompete checks that requests without ranks get the same decisions as without shares of teams, in random
// sequences with a team that floods.
func TestNoSharesWhereCallersDoNotCompete(t *testing.T) {
	w := newModelTestEnv(t, "127.0.0.1:1")
	var alone admission.Policy
	r := rand.New(rand.NewPCG(1, 1))
	refused := 0
	for i := range 5000 {
		team := "flood"
		if r.IntN(10) == 0 {
			team = fmt.Sprint(r.IntN(20))
		}
		c, delay := teamCall(w.entry, team, 0, false), time.Duration(r.Int64N(int64(1200*time.Millisecond)))
		if r.IntN(4) == 0 {
			c.sinceFirst = time.Second
		}
		got, want := c.admitShared(delay), alone.Admit(c.admissionRequest(), c.sinceFirst, delay)
		if got != want {
			t.Fatalf("request %d: admitted %v, want %v", i, got, want)
		}
		if !got {
			refused++
		}
		if c.share != nil {
			t.Fatal("a request without a rank has a share")
		}
	}
	if n := len(w.entry.rooms.All()); n != 0 || refused == 0 {
		t.Errorf("shares of %d rooms are counted, %d requests refused", n, refused)
	}
	if w.entry.peers.notifyTeams(t.Context()) != nil {
		t.Error("the entry would tell others of teams")
	}
}

// flood makes a team ask until it is bounded, among refused first tries of another one.
func flood(t *testing.T, e *Entry, rank int) {
	t.Helper()
	for range 200 {
		teamCall(e, "large", rank, true).admitShared(2 * time.Second)
		teamCall(e, "flood", rank, true).admitShared(0)
	}
	// Shares are computed at intervals.
	time.Sleep(30 * time.Millisecond)
}

// TestATeamOverItsShareIsBounded checks that a team over its share queues for less time, that others queue as before, that each
// rank is a room of its own, and that all this is logged.
func TestATeamOverItsShareIsBounded(t *testing.T) {
	w := newModelTestEnv(t, "127.0.0.1:1")
	lines := memory.New()
	w.entry.log = &log.Logger{Handler: lines, Level: log.InfoLevel}
	flood(t, w.entry, 1)
	for name, test := range map[string]struct {
		team  string
		rank  int
		delay time.Duration
		want  bool
	}{
		"the flood, as long as a first try": {"flood", 1, 700 * time.Millisecond, false},
		"the flood, at a short queue":       {"flood", 1, 200 * time.Millisecond, true},
		"another team":                      {"large", 1, 700 * time.Millisecond, true},
		"a team that has not asked yet":     {"new", 1, 700 * time.Millisecond, true},
		"the flood at another rank":         {"flood", 0, 700 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := teamCall(w.entry, test.team, test.rank, true)
			if got := c.admitShared(test.delay); got != test.want {
				t.Errorf("admitted %v, want %v: %+v", got, test.want, c.share)
			}
		})
	}
	begun := 0
	for _, line := range lines.Entries {
		if line.Message == "forward: a team is bounded to its share" {
			begun++
			if line.Fields["team"] != "flood" || line.Fields["rank"] != 1 || !strings.HasPrefix(fmt.Sprint(line.Fields["largest"]), "flood") {
				t.Errorf("line says %v", line.Fields)
			}
		}
	}
	if begun != 1 {
		t.Errorf("%d lines say that a team is bounded, want 1", begun)
	}
}

// TestPeersLearnOfTeams checks that the other entries of a site learn what teams used at an entry that refuses first tries.
func TestPeersLearnOfTeams(t *testing.T) {
	env := newSiteEnv(t, 3)
	flood(t, env.entries[0], 1)
	for _, e := range env.entries {
		go func() { _ = e.peers.serve(t.Context()) }()
	}
	now := time.Now()
	env.entries[0].peers.add(admission.Refusal{Fingerprint: 1, FirstTry: now, Deadline: now.Add(time.Second)}, now)
	room := admission.Room{Service: "s", Rank: 1}
	for i, e := range env.entries[1:] {
		used := time.Duration(0)
		for deadline := now.Add(1500 * time.Millisecond); used == 0 && time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
			used = e.rooms.Of(room).Share("flood", time.Now()).Admitted
		}
		if used < time.Second {
			t.Errorf("entry %d knows of %v used", i+1, used)
		}
		if other := e.rooms.Of(admission.Room{Service: "s"}).Share("flood", time.Now()).Admitted; other != 0 {
			t.Errorf("entry %d knows of %v used at another rank", i+1, other)
		}
	}
}

// TestHeardTeamsAreBounded guards against messages that name negative work, or more teams or rooms than an entry tells of.
func TestHeardTeamsAreBounded(t *testing.T) {
	w := newModelTestEnv(t, "127.0.0.1:1")
	many := link.RoomUse{Service: "many"}
	for i := range admission.MaxToldTeams + 1 {
		many.Teams = append(many.Teams, link.TeamUse{Team: fmt.Sprint(i), Asked: time.Second, Admitted: time.Second})
	}
	msg := &link.TeamUses{Entry: "other", Rooms: []link.RoomUse{many, {
		Service: "negative", Teams: []link.TeamUse{{Team: "t", Asked: -time.Second, Admitted: -time.Second}},
	}}}
	for i := range 1000 {
		msg.Rooms = append(msg.Rooms, link.RoomUse{Service: fmt.Sprint(i)})
	}
	w.entry.hearTeams(msg)
	for _, service := range []string{"many", "negative"} {
		if s := w.entry.rooms.Of(admission.Room{Service: service}).Share("t", time.Now()); s.Admitted < 0 || s.Teams > 1 {
			t.Errorf("%s: share is %+v", service, s)
		}
	}
	if n := len(w.entry.rooms.All()); n > 256 {
		t.Errorf("%d rooms are kept", n)
	}
}

func TestTeamMetricsAreBounded(t *testing.T) {
	var totals teamTotals
	for i := range 3 * maxTeamTotals {
		totals.add(admission.Ask{Team: fmt.Sprint("team", i), Work: time.Second}, i%2 == 0)
	}
	totals.add(admission.Ask{Team: "largest", Work: time.Hour}, true)
	totals.add(admission.Ask{Team: "team7", Work: time.Hour}, true)
	var text bytes.Buffer
	totals.write(&text)
	if n := strings.Count(text.String(), "\n"); n != 2*(maxTeamMetrics+1) {
		t.Errorf("%d lines, want %d", n, 2*(maxTeamMetrics+1))
	}
	for _, want := range []string{`asked_seconds_total{team="team7"} 3601`, `admitted_seconds_total{team="team7"} 3600`, `{team="other"}`} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%s is missing", want)
		}
	}
}
