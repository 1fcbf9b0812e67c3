package fill

import "time"

const (
	// usualSpreadTime is how long after the last download all boxes usually hold all pieces.
	usualSpreadTime = 500 * time.Millisecond
	// finishTimeout bounds how long an older version may still take once a newer one is named, while no time without any version
	// is at stake.
	finishTimeout = 4 * time.Second
)

// succession holds what decides whether an incomplete older version is finished before a newer one is fetched. Its times are
// the same for all boxes, up to the delay of messages.
type succession struct {
	olderNamed, newerNamed time.Time
	// runsUntil is until when requests may start on what precedes the older version, olderUntil until when on the older one.
	runsUntil, olderUntil time.Time
	// olderRest is the origin link's time for the older version's pieces that no box holds, newerRest for the whole newer one.
	olderRest, newerRest time.Duration
	// originAway says that nothing can be fetched now.
	originAway bool
}

// finishOlder decides for the load at which versions follow each other faster than an interrupted origin gives them: callers are
// owed an answer at each moment, so the choice is the one that leaves less time in which no version may run. It must gain more
// than a load costs, since servers load once more. While the origin is away the older version costs the newer one nothing.
func (s succession) finishOlder(now time.Time) bool {
	bounded := s.runsUntil.After(s.olderNamed)
	ready := now.Add(s.olderRest + usualSpreadTime + usualLoadTime)
	switch {
	case bounded && s.unservedOlderFirst(now)+usualLoadTime < s.unservedNewerFirst(now):
		return true
	case bounded && s.originAway && ready.Add(usualLoadTime).Before(s.olderUntil):
		return true
	}
	return s.newerNamed.Sub(s.olderNamed) >= s.newerRest && now.Sub(s.newerNamed) < finishTimeout
}

// unservedNewerFirst returns the time without any version if the newer one is fetched now.
func (s succession) unservedNewerFirst(now time.Time) time.Duration {
	ready := now.Add(s.newerRest + usualSpreadTime + usualLoadTime)
	return max(ready.Sub(latest(now, s.runsUntil)), 0)
}

// unservedOlderFirst returns the time without any version if the older one is finished first.
func (s succession) unservedOlderFirst(now time.Time) time.Duration {
	older := now.Add(s.olderRest + usualSpreadTime + usualLoadTime)
	newer := older.Add(s.newerRest)
	return max(older.Sub(latest(now, s.runsUntil)), 0) + max(newer.Sub(latest(older, s.olderUntil)), 0)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
