package forward

import (
	"math"
	"time"

	"github.com/coralstair/coralstair/admission"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/engine"
)

// lagRanks is the number of ranks whose lag is kept apart: servers know ten priorities. Less urgent ones share the last.
const lagRanks = 10

// ahead returns the part of a server's load that goes before a request: all that has a slot, and of what waits for one what the request
// doesn't overtake. mu is held.
func (u *upstream) ahead(load engine.Load, s admission.Standing, e *contract.Engine) engine.Load {
	load.Overtaken = s.Overtaken
	// Of other entries' requests only the number is known, this entry's own are known one by one.
	requests := s.Overtakes * float64(load.Prefilling-u.reading)
	tokens := requests * float64(e.UsualPrompt)
	for _, r := range u.pending {
		if r.rank > s.Rank {
			requests++
			tokens += float64(r.prompt)
		}
	}
	return load.WithoutOvertaken(e, requests, tokens)
}

// lagAverage is the decaying average delay of first events beyond their prediction, as of at.
type lagAverage struct {
	lag time.Duration
	at  time.Time
}

// observe adds the delay of one first event.
func (l *lagAverage) observe(late time.Duration, now time.Time) {
	decayed := l.current(now)
	l.lag, l.at = decayed+time.Duration(lagWeight*float64(max(late-lagTolerance, 0)-decayed)), now
}

// current returns the decayed average.
func (l *lagAverage) current(now time.Time) time.Duration {
	if l.lag <= 0 {
		return 0
	}
	return time.Duration(float64(l.lag) * math.Exp2(-float64(now.Sub(l.at))/float64(lagHalfLife)))
}

// observeLag adds the delay of one first event beyond its prediction to the lag of the most urgent rank, which counts for all; mu is held.
func (u *upstream) observeLag(late time.Duration, now time.Time) { u.lags[0].observe(late, now) }

// currentLag returns the decayed lag of the most urgent requests; mu is held.
func (u *upstream) currentLag(now time.Time) time.Duration { return u.lags[0].current(now) }

// lagOf returns the decayed lag that counts for a rank: the largest of that rank and the more urgent ones, as less urgent requests may be
// late only because others overtook them. mu is held.
func (u *upstream) lagOf(rank int, now time.Time) time.Duration {
	lag := time.Duration(0)
	for i := range min(rank, lagRanks-1) + 1 {
		lag = max(lag, u.lags[i].current(now))
	}
	return lag
}

// oldestOverdue returns by how much the oldest outstanding first event is overdue. Less urgent ones don't count at a full server, where
// they may only have been overtaken. mu is held.
func (u *upstream) oldestOverdue(rank int, full bool, now time.Time) time.Duration {
	for _, r := range u.pending {
		if !full || r.rank <= rank {
			return max(now.Sub(r.sent)-r.predicted*3/2-overdueTolerance, 0)
		}
	}
	return 0
}

// setRank sets the rank at which the server lets the request in; more urgent ones overtake it there.
func (r *inFlightRequest) setRank(rank int) {
	r.up.mu.Lock()
	defer r.up.mu.Unlock()
	r.rank = min(rank, lagRanks-1)
}
