package report

import (
	"fmt"
	"strings"
	"testing"
)

// TestWhoWaitsAndWhoPays checks that counts by rank and team are of the times with refusals only.
func TestWhoWaitsAndWhoPays(t *testing.T) {
	asked := func(after float64, rank, team, outcome string, status int) string {
		return logLine(after, fmt.Sprintf(`"msg":"request","route":"r","team":%q,"outcome":%q,"status":%d,"first_ms":100,"goal_ms":400%s`,
			team, outcome, status, rank))
	}
	const first, second = `,"rank":0`, `,"rank":2`
	var r Report
	text := asked(0, first, "a", "answered", 200) + asked(0.1, second, "b", "answered", 200) +
		asked(5, first, "a", "answered", 200) + asked(5.1, second, "b", "not-run", 503) + asked(5.2, "", "b", "answered", 200)
	if err := r.Read("log", strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
	slots, by := r.shortages()
	if len(slots) != 1 {
		t.Fatalf("%d times of shortage, want 1", len(slots))
	}
	for name, test := range map[string]struct {
		got  *Counts
		want Counts
	}{
		"most urgent":  {by.ranks["0"], Counts{Requests: 1, InTime: 1}},
		"less urgent":  {by.ranks["2"], Counts{Requests: 1, Refused: 1}},
		"without rank": {by.ranks[unranked], Counts{Requests: 1, InTime: 1}},
		"team":         {by.teams["b"], Counts{Requests: 2, InTime: 1, Refused: 1}},
	} {
		if test.got == nil || *test.got != test.want {
			t.Errorf("%s: %+v, want %+v", name, test.got, test.want)
		}
	}
	var out strings.Builder
	if err := r.Text(&out); err != nil || !strings.Contains(out.String(), "who waits and who pays: 1 times") {
		t.Errorf("%v, no section on shortages in %s", err, out.String())
	}
}

// TestCallersAreBounded checks that counts by who asked merge along with the slots.
func TestCallersAreBounded(t *testing.T) {
	var r Report
	for i := range 4 * maxSlots {
		if err := r.Read("log", strings.NewReader(request(float64(i), "r", "not-run", 503, 0, 0))); err != nil {
			t.Fatal(err)
		}
	}
	if _, by := r.shortages(); len(r.callers) > maxSlots || by.teams["t"].Requests != 4*maxSlots {
		t.Errorf("%d slots by who asked, %d requests", len(r.callers), by.teams["t"].Requests)
	}
}
