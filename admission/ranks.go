package admission

import (
	"math"
	"time"
)

const (
	// rankCount is the number of ranks told apart: servers know ten priorities. Less urgent ones share the last.
	rankCount = 10
	// shareHalfLife is the half-life of the counts by rank: about as long as a request stays at a server, whose queue they estimate.
	shareHalfLife = 2 * time.Second
	// refusalHalfLife is the half-life of the counts by which less urgent ranks leave room. Requests wait about that long for a slot: older
	// refusals say nothing of the slots there are now.
	refusalHalfLife = 250 * time.Millisecond
	// roomShare is the refused fraction of more urgent first tries from which a rank leaves all room to them. Callers accept that a more
	// urgent rank is served less often than a less urgent one by as much.
	roomShare = 0.05
	// assumedRequests is how many admitted requests are assumed beside those counted, so that a few say little: more urgent ones where a
	// rank leaves room, and in a standing ones that neither overtake nor are overtaken.
	assumedRequests = 4
	// waitingSmoothing is the weight of the latest number of waiting requests in its moving average.
	waitingSmoothing = 0.1
	// forgotten is the value below which a decaying count becomes zero.
	forgotten = 0.01
	// A rank is served as the most urgent while the fraction of its first tries that are admitted is below leastShare of the fraction over
	// all ranks. No callers may get less than a quarter of what all get; the rest is a margin for noise.
	leastShare = 0.3
	// leastTries is the number of recent first tries of a rank below which its share says nothing.
	leastTries = 3
)

// Standing is how a request stands among those that wait at a server which lets the more urgent in first. The zero value is that of a
// request that overtakes none and that none overtakes.
type Standing struct {
	// Rank is the rank at which the request is served, 0 the most urgent.
	Rank int
	// Overtakes is the fraction of other entries' waiting requests that the request overtakes, Overtaken the fraction of later requests that
	// overtake it.
	Overtakes, Overtaken float64
}

// rankCounts are decaying counts of the requests of one rank.
type rankCounts struct {
	// firstTries and firstAdmitted count first tries, admitted also retries.
	firstTries, firstAdmitted, admitted float64
	// latestTries and latestAdmitted count first tries over a shorter time.
	latestTries, latestAdmitted float64
}

// ranks count requests by rank; only requests of the same service are compared.
// They matter when ranks compete for too few slots. Servers let the more urgent in first: an entry that counted all waiting requests would
// refuse urgent ones for a wait that they don't have, and one that filled all slots with less urgent ones would make the urgent wait.
type ranks struct {
	counts [rankCount]rankCounts
	// at is the time to which the counts are decayed.
	at time.Time
	// waiting is the mean number of this entry's requests that wait at full servers, by rank.
	waiting Waiting
}

// Waiting is the number of requests of one entry that wait at full servers, by rank.
type Waiting [rankCount]float64

// Add counts a waiting request of a rank.
func (w *Waiting) Add(rank int) { w[index(rank)]++ }

// index returns the index of a rank.
func index(rank int) int { return min(max(rank, 0), rankCount-1) }

// advance decays the counts to a time.
func (r *ranks) advance(now time.Time) {
	if passed := now.Sub(r.at); passed > 0 {
		factor, latest := decay(passed, shareHalfLife), decay(passed, refusalHalfLife)
		for i := range r.counts {
			c := &r.counts[i]
			c.firstTries, c.firstAdmitted, c.admitted = decayed(c.firstTries, factor), decayed(c.firstAdmitted, factor), decayed(c.admitted, factor)
			c.latestTries, c.latestAdmitted = decayed(c.latestTries, latest), decayed(c.latestAdmitted, latest)
		}
		r.at = now
	}
}

// decay returns the factor by which counts with a half-life decay in a time.
func decay(passed, halfLife time.Duration) float64 {
	return math.Exp2(-passed.Seconds() / halfLife.Seconds())
}

func decayed(count, factor float64) float64 {
	if count *= factor; count >= forgotten {
		return count
	}
	return 0
}

// observe updates the mean numbers of waiting requests.
func (r *ranks) observe(waiting Waiting) {
	for i, n := range waiting {
		r.waiting[i] += waitingSmoothing * (n - r.waiting[i])
	}
}

// overtakes returns the fraction of other entries' waiting requests that a request of a rank overtakes. The less urgent wait longer, so
// more of those that wait are less urgent than of those admitted: the entry's own waiting requests stand for the others'. One more is
// added, split like the admitted ones, of which admittedLess are less urgent: few waiting requests say little.
func (r *ranks) overtakes(rank int, admittedLess float64) float64 {
	less, all := admittedLess, 1.0
	for i, n := range r.waiting {
		all += n
		if i > rank {
			less += n
		}
	}
	return less / all
}

// count counts a request of a rank and whether it was admitted.
func (r *ranks) count(rank int, firstTry, admitted bool) {
	c := &r.counts[index(rank)]
	if admitted {
		c.admitted++
	}
	if !firstTry {
		return
	}
	c.firstTries++
	c.latestTries++
	if admitted {
		c.firstAdmitted++
		c.latestAdmitted++
	}
}

// served returns the rank at which requests of a rank are served: their own, or the most urgent while they get too little.
func (r *ranks) served(rank int) int {
	var all rankCounts
	for _, c := range r.counts {
		all.firstTries += c.firstTries
		all.firstAdmitted += c.firstAdmitted
	}
	own := r.counts[index(rank)]
	if own.firstTries >= leastTries && own.firstAdmitted*all.firstTries < leastShare*all.firstAdmitted*own.firstTries {
		return 0
	}
	return index(rank)
}

// mostRefused reports whether most recent first tries of a rank were refused.
func (r *ranks) mostRefused(rank int) bool {
	c := r.counts[index(rank)]
	return c.firstTries >= leastTries && 2*c.firstAdmitted < c.firstTries
}

// leave returns the fraction of the usual longest wait beyond NoWait that a request served at a rank may have. It falls as first tries of
// more urgent ranks are refused, since a request in a slot doesn't give it up to them; linearly, so that admission doesn't swing.
func (r *ranks) leave(rank int) float64 {
	tries, admitted := float64(assumedRequests), float64(assumedRequests)
	for _, c := range r.counts[:rank] {
		tries += c.latestTries
		admitted += c.latestAdmitted
	}
	return 1 - min(1, (tries-admitted)/tries/roomShare)
}

// standing returns how a request of a rank stands, given the recently admitted and the waiting requests.
func (r *ranks) standing(rank int) Standing {
	s := Standing{Rank: r.served(rank)}
	all, less, more := float64(assumedRequests), 0.0, 0.0
	for i, c := range r.counts {
		all += c.admitted
		if i > s.Rank {
			less += c.admitted
		}
		if i < s.Rank {
			more += c.admitted
		}
	}
	s.Overtakes, s.Overtaken = r.overtakes(s.Rank, less/all), more/all
	return s
}
