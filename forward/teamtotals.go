package forward

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/coralstair/coralstair/admission"
)

const (
	// maxTeamMetrics is how many teams have metrics of their own, the largest; the others share one.
	maxTeamMetrics = 32
	// maxTeamTotals bounds the teams that are counted one by one; further ones count as otherTeams.
	maxTeamTotals = 1024
	// otherTeams names the teams that share metrics.
	otherTeams = "other"
)

// teamTotals are the seconds of engine work that teams asked for and were admitted with since the start. The zero value is empty.
type teamTotals struct {
	mu     sync.Mutex
	byTeam map[string]teamTotal
}

type teamTotal struct{ asked, admitted float64 }

func (t teamTotal) plus(u teamTotal) teamTotal {
	return teamTotal{asked: t.asked + u.asked, admitted: t.admitted + u.admitted}
}

// teamWork are the totals of the process.
var teamWork = newTeamWork()

// newTeamWork returns totals that the process's metrics include.
func newTeamWork() *teamTotals {
	tt := &teamTotals{}
	metrics.RegisterMetricsWriter(tt.write)
	return tt
}

// add counts a decision on a team's request.
func (tt *teamTotals) add(ask admission.Ask, admitted bool) {
	total := teamTotal{asked: ask.Work.Seconds()}
	if admitted {
		total.admitted = total.asked
	}
	tt.mu.Lock()
	defer tt.mu.Unlock()
	if tt.byTeam == nil {
		tt.byTeam = make(map[string]teamTotal)
	}
	team := ask.Team
	if _, known := tt.byTeam[team]; !known && len(tt.byTeam) >= maxTeamTotals {
		team = otherTeams
	}
	tt.byTeam[team] = tt.byTeam[team].plus(total)
}

// write writes the totals of the teams that asked for most, and those of all others as one.
func (tt *teamTotals) write(w io.Writer) {
	tt.mu.Lock()
	totals := maps.Clone(tt.byTeam)
	tt.mu.Unlock()
	others, rest := totals[otherTeams], totals[otherTeams] != teamTotal{}
	delete(totals, otherTeams)
	largest := slices.SortedFunc(maps.Keys(totals), func(a, b string) int {
		return cmp.Or(cmp.Compare(totals[b].asked, totals[a].asked), cmp.Compare(a, b))
	})
	for i, team := range largest {
		if i >= maxTeamMetrics {
			others, rest = others.plus(totals[team]), true
			continue
		}
		writeTeamTotal(w, team, totals[team])
	}
	if rest {
		writeTeamTotal(w, otherTeams, others)
	}
}

func writeTeamTotal(w io.Writer, team string, total teamTotal) {
	metrics.WriteCounterFloat64(w, fmt.Sprintf("coralstair_team_work_asked_seconds_total{team=%q}", team), total.asked)
	metrics.WriteCounterFloat64(w, fmt.Sprintf("coralstair_team_work_admitted_seconds_total{team=%q}", team), total.admitted)
}
