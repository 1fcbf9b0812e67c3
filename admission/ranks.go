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
	// roomShare is the fraction of the more urgent first tries refused from which a rank leaves them all room. Callers bear that
	// a more urgent kind is served less often than a less urgent one by as much.
	roomShare = 0.05
	// assumedRequests is how many requests that go before any other are assumed beside those counted, so that a few say little.
	assumedRequests = 4
	// waitingSmoothing is the weight of the latest count in the mean of this entry's requests that wait, by rank.
	waitingSmoothing = 0.1
	// forgotten is the count below which one is taken as zero.
	forgotten = 0.01
	// leastShare is the share of first tries admitted, as a fraction of that of all ranks, below which a rank is served as the most urgent.
	// No callers may get less than a quarter of what all get; the rest is room for noise.
	leastShare = 0.3
	// leastTries is the number of recent first tries of a rank below which its share says nothing.
	leastTries = 3
)

// Standing is how a request stands among those that wait at a server which lets the more urgent in first. The zero value is that of a
// request that overtakes none and that none overtakes.
type Standing struct {
	// Rank is the rank at which the request is served, 0 the most urgent.
	Rank int
	// Overtakes is the fraction of waiting requests unknown to this entry that the request overtakes, Overtaken the fraction of requests to
	// come that overtake it.
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
// They answer load under which callers of several ranks compete for too few slots: servers let the more urgent in first, so entries that
// count all that waits refuse the urgent for a wait that they won't have, and those that fill all slots with the less urgent leave the
// urgent to wait for one.
type ranks struct {
	counts [rankCount]rankCounts
	at     time.Time
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

// overtakes returns the fraction of waiting requests of other entries that one of a rank overtakes, given the fraction of those admitted
// that are less urgent. The less urgent wait longer, so what waits is not made up like what was admitted: the entry's own requests that
// wait stand for the others', and one more that is made up like those admitted, as few may say little.
func (r *ranks) overtakes(rank int, ofAdmitted float64) float64 {
	less, all := ofAdmitted, 1.0
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

// leave returns the fraction of the usual wait at which a request served at a rank is admitted: less, the more first tries of more urgent
// ranks are refused, as nothing that has a slot gives it up to them. It falls linearly, so that no wave starts.
func (r *ranks) leave(rank int) float64 {
	tries, admitted := float64(assumedRequests), float64(assumedRequests)
	for _, c := range r.counts[:rank] {
		tries += c.latestTries
		admitted += c.latestAdmitted
	}
	return 1 - min(1, (tries-admitted)/tries/roomShare)
}

// standing returns how a request of a rank stands.
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
