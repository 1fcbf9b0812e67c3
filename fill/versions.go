package fill

import "time"

const (
	// usualSpreadTime is how long after the last download all boxes usually hold all pieces.
	usualSpreadTime = 500 * time.Millisecond
	// finishTimeout bounds how long an older version may still take once a newer one is named, while no time without any version
	// is at stake.
	finishTimeout = 4 * time.Second
	// usualOutage is how long the origin is away when it starts again.
	usualOutage = 5 * time.Second
)

// succession holds what decides whether an incomplete older version is finished before a newer one is fetched. Its times are
// the same for all boxes, up to the delay of messages.
type succession struct {
	olderNamed, newerNamed time.Time
	// runsUntil is until when requests may start on what precedes the older version, olderUntil until when on the older one.
	runsUntil, olderUntil time.Time
	// olderRest is the origin link's time for the older version's pieces that no box holds, newerRest for the whole newer one.
	olderRest, newerRest time.Duration
}

// finishOlder decides for the load at which versions follow each other faster than an interrupted origin gives them. Callers are
// owed an answer at each moment: where an outage of the origin would leave no version to run, an older version that should be
// whole is kept as long as that leaves no more time without any version than to begin the newer one, and it can still be of use.
// A difference of less than a load changes nothing, so that boxes that know different pieces agree.
func (s succession) finishOlder(now time.Time) bool {
	switch {
	case s.newerNamed.Sub(s.olderNamed) < s.newerRest:
		return false
	case !s.isTight():
		return now.Sub(s.newerNamed) < finishTimeout
	}
	ready := now.Add(s.olderRest + usualSpreadTime + usualLoadTime)
	return ready.Add(usualLoadTime).Before(s.olderUntil) && s.unservedOlderFirst(now) <= s.unservedNewerFirst(now)+usualLoadTime
}

// isTight reports whether a usual outage of the origin would make the newer version stand only after what runs has ended.
func (s succession) isTight() bool {
	ready := s.newerNamed.Add(s.newerRest + usualSpreadTime + usualLoadTime)
	return s.runsUntil.After(s.olderNamed) && s.runsUntil.Sub(ready) < usualOutage
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
