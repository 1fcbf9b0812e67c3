package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/coralstair/coralstair/allowance"
)

const (
	// teamWindow is the time over which work is counted. Callers wait for a few seconds, so room that was borrowed has to be back sooner.
	teamWindow = 2 * time.Second
	// teamPressure is the fraction of first tries without room above which teams over their shares are bounded, and at which their queueing
	// delay has fallen to overShare. Callers under their shares should lose no more than one request in fifty to those over theirs.
	teamPressure = 0.02
	// overShare is the queueing delay at which a team over its share is still admitted, as a fraction of the tightest goal. At a server
	// without a queue, steps and old reports alone take up to a third of a goal: with less, room that nobody else wants would stay unused.
	overShare = 0.45
	// shareTTL is how long computed shares are used; much shorter than a window, longer than the time between two requests.
	shareTTL = 20 * time.Millisecond
	// maxTeams bounds the teams that are counted; others are never bounded.
	maxTeams = 1024
	// MaxToldTeams bounds the teams of a room that an entry tells others of; it tells of the largest.
	MaxToldTeams = 64
	// Unlimited is the share while all teams get what they ask for.
	Unlimited = time.Duration(math.MaxInt64)
)

// Ask is a request of a team for room.
type Ask struct {
	Team string
	// Work is the engine's time that the request takes.
	Work time.Duration
	// Retry marks a retry of a refused request.
	Retry bool
}

// TeamUse is the work that a team asked for and was admitted with within the window.
type TeamUse struct {
	Asked, Admitted time.Duration
}

// plus returns the sum of u and a fraction of v.
func (u TeamUse) plus(v TeamUse, fraction float64) TeamUse {
	return TeamUse{
		Asked:    u.Asked + time.Duration(fraction*float64(v.Asked)),
		Admitted: u.Admitted + time.Duration(fraction*float64(v.Admitted)),
	}
}

// TeamShare is a team's share of the room and what it uses of it.
type TeamShare struct {
	TeamUse
	// Share is the work that a team may have admitted in a window before it is bounded.
	Share time.Duration
	// Teams is how many teams ask.
	Teams int
	// Bounded says that the team's requests may queue for less time than others.
	Bounded bool
}

// TeamChange says that a team began or ceased to be bounded.
type TeamChange struct {
	Team string
	TeamShare
	// Largest are the teams with the most admitted work, the largest first.
	Largest []string
}

// Teams shares the room of one service and rank between teams by the work they ask for. It is for shortages in which some teams ask for
// most of the room: by a flood, instant retries, or large prompts. What is admitted in a window goes by max-min shares; a team over its
// share may queue for less time than others, so it still gets what they leave. The zero value is ready to use and safe for concurrent use.
type Teams struct {
	mu     sync.Mutex
	window allowance.Window
	// own counts each team's work at this entry, told holds that at the others.
	own  map[string]*teamCounts
	told allowance.Told[map[string]TeamUse]
	// firstTries is the work of all teams' first tries that this entry has decided on, firstWithoutRoom that of those which found no room.
	firstTries, firstWithoutRoom allowance.Counts
	// total is each team's work at all entries, limited how many teams ask for more than the share. They are computed at computedAt, and own
	// work since then is added.
	total      map[string]TeamUse
	share      time.Duration
	limited    int
	computedAt time.Time
	// boundedAt is when requests of teams were last bounded, changes what Changes returns next.
	boundedAt map[string]time.Time
	changes   []TeamChange
}

type teamCounts struct {
	asked, admitted allowance.Counts
}

// Record records that a team asks for room.
func (t *Teams) Record(ask Ask, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(now)
	if c := t.counts(ask.Team, now); c != nil {
		c.asked.Add(int64(ask.Work))
		t.total[ask.Team] = t.total[ask.Team].plus(TeamUse{Asked: ask.Work}, 1)
	}
}

// Decided records whether a recorded request was admitted, and whether there was room for it, regardless of its team's share.
func (t *Teams) Decided(ask Ask, admitted, room bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(now)
	if !ask.Retry {
		t.firstTries.Add(int64(ask.Work))
		if !room {
			t.firstWithoutRoom.Add(int64(ask.Work))
		}
	}
	if !admitted {
		return
	}
	if c := t.counts(ask.Team, now); c != nil {
		c.admitted.Add(int64(ask.Work))
		t.total[ask.Team] = t.total[ask.Team].plus(TeamUse{Admitted: ask.Work}, 1)
		// The room is what was admitted: more of it goes to the teams that ask for more than the share.
		if t.limited > 0 {
			t.share += ask.Work / time.Duration(t.limited)
		}
	}
}

// Share returns a team's share, and whether the team's requests are bounded now.
func (t *Teams) Share(team string, now time.Time) TeamShare {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(now)
	s := t.shareOf(team)
	if s.Bounded {
		if _, before := t.boundedAt[team]; !before {
			t.changes = append(t.changes, TeamChange{Team: team, TeamShare: s, Largest: t.largest()})
		}
		if t.boundedAt == nil {
			t.boundedAt = make(map[string]time.Time)
		}
		t.boundedAt[team] = now
	}
	return s
}

// Hear records what teams used at another entry as of a time.
func (t *Teams) Hear(entry string, uses map[string]TeamUse, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.told.Record(entry, uses, at)
}

// Use returns what the largest teams used at this entry, for the other entries; nil while first tries find room.
func (t *Teams) Use(now time.Time) map[string]TeamUse {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(now)
	if !t.pressed() {
		return nil
	}
	uses := make(map[string]TeamUse, len(t.own))
	for team, c := range t.own {
		uses[team] = c.use()
	}
	largest := slices.SortedFunc(maps.Keys(uses), func(a, b string) int { return cmp.Compare(uses[b].Asked, uses[a].Asked) })
	for _, team := range largest[min(MaxToldTeams, len(largest)):] {
		delete(uses, team)
	}
	return uses
}

// Changes returns the teams that began or ceased to be bounded since the last call, and whether some team is still bounded.
func (t *Teams) Changes(now time.Time) (changes []TeamChange, bounded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(now)
	changes, t.changes = t.changes, nil
	return changes, len(t.boundedAt) > 0
}

// shareOf returns a team's share; mu is held.
func (t *Teams) shareOf(team string) TeamShare {
	s := TeamShare{TeamUse: t.total[team], Share: t.share, Teams: len(t.total)}
	s.Bounded = t.pressed() && s.Admitted > s.Share
	return s
}

// pressed reports whether too many first tries, by work, find no room; mu is held.
func (t *Teams) pressed() bool {
	return float64(t.firstWithoutRoom.Sum()) > teamPressure*float64(t.firstTries.Sum())
}

// counts returns a team's counts, advanced to now; nil if too many teams are counted already. mu is held.
func (t *Teams) counts(team string, now time.Time) *teamCounts {
	c := t.own[team]
	if c == nil {
		if len(t.own) >= maxTeams {
			return nil
		}
		c = &teamCounts{}
		t.own[team] = c
	}
	c.asked.Advance(t.window, now)
	c.admitted.Advance(t.window, now)
	return c
}

// update computes totals and the share if they are outdated; mu is held.
func (t *Teams) update(now time.Time) {
	if t.own == nil {
		t.own, t.window = make(map[string]*teamCounts), allowance.Window{Length: teamWindow, Origin: now}
	}
	t.firstTries.Advance(t.window, now)
	t.firstWithoutRoom.Advance(t.window, now)
	if since := now.Sub(t.computedAt); t.total != nil && since >= 0 && since < shareTTL {
		return
	}
	t.computedAt, t.total = now, make(map[string]TeamUse, len(t.own))
	for team := range t.own {
		if use := t.counts(team, now).use(); use != (TeamUse{}) {
			t.total[team] = use
		} else {
			delete(t.own, team)
		}
	}
	for uses, weight := range t.told.All(teamWindow, now) {
		for team, use := range uses {
			t.total[team] = t.total[team].plus(use, weight)
		}
	}
	t.share, t.limited = maxMinShare(t.total)
	t.endBounds(now)
}

// endBounds records the end of bounds that no request has met for a window; mu is held.
func (t *Teams) endBounds(now time.Time) {
	for team, at := range t.boundedAt {
		if now.Sub(at) > teamWindow {
			delete(t.boundedAt, team)
			// It may still be over its share by what it uses at other entries; here no request of it has met the bound.
			share := t.shareOf(team)
			share.Bounded = false
			t.changes = append(t.changes, TeamChange{Team: team, TeamShare: share, Largest: t.largest()})
		}
	}
}

// largest returns the teams with the most admitted work, the largest first; mu is held.
func (t *Teams) largest() []string {
	const most = 3
	teams := slices.SortedFunc(maps.Keys(t.total), func(a, b string) int {
		return cmp.Or(cmp.Compare(t.total[b].Admitted, t.total[a].Admitted), cmp.Compare(a, b))
	})
	return teams[:min(most, len(teams))]
}

// use returns the work in the window.
func (c *teamCounts) use() TeamUse {
	return TeamUse{Asked: time.Duration(c.asked.Sum()), Admitted: time.Duration(c.admitted.Sum())}
}

// maxMinShare returns the largest share at which all teams together get no more than what was admitted, when each gets the share or, if
// less, what it asked for; and how many teams asked for more than the share.
func maxMinShare(uses map[string]TeamUse) (share time.Duration, limited int) {
	room, asked := time.Duration(0), make([]time.Duration, 0, len(uses))
	for _, use := range uses {
		room += use.Admitted
		asked = append(asked, use.Asked)
	}
	slices.Sort(asked)
	for i, ask := range asked {
		limited = len(asked) - i
		if share = room / time.Duration(limited); ask > share {
			return share, limited
		}
		room -= ask
	}
	return Unlimited, 0
}

// AdmitBounded is Admit for a request of a team over its share, which may wait less the more first tries find no room. It also returns
// whether another team's request would find room: this is what counts in the pressure, as a refusal for the share alone is no shortage.
func (p *Policy) AdmitBounded(req Request, sinceFirst, queueDelay time.Duration) (admitted, room bool) {
	p.mu.Lock()
	share := firstTryShare - (firstTryShare-overShare)*min(1, p.pressure[index(req.Rank)]/teamPressure)
	admitted = queueDelay <= p.maxDelay(req, share)
	p.mu.Unlock()
	room = p.Admit(req, sinceFirst, queueDelay)
	return admitted && room, room
}
