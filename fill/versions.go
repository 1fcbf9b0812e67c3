package fill

import "time"

const (
	// usualSpreadTime is how long after the last download from the origin all boxes usually hold all pieces.
	usualSpreadTime = 500 * time.Millisecond
	// finishTimeout bounds how long an older version may still take once a newer one is named, where an outage of the origin would
	// leave no time without any version: finishing the older one then only delays the newer one.
	finishTimeout = 4 * time.Second
	// usualOutage is how long the origin is usually away while it starts again.
	usualOutage = 5 * time.Second
)

// succession holds what decides whether an incomplete older version is finished before a newer one is fetched. Its times of naming and
// bounds are the same for all boxes, up to the delay of messages; olderRest depends on the pieces that a box knows of.
type succession struct {
	olderNamed, newerNamed time.Time
	// runsUntil is until when requests may start on the version before the older one, olderUntil until when on the older one; zero if
	// not known.
	runsUntil, olderUntil time.Time
	// olderRest is the origin link's time for the older version's pieces that no box holds, newerRest for the whole newer one.
	olderRest, newerRest time.Duration
}

// finishOlder reports whether the older version is finished first. What counts is the time in which no version may run:
//   - an older version that could not have been fetched whole before the newer one was named is given up;
//   - where a usual outage leaves no such time, it is finished within finishTimeout;
//   - else it is finished if it will stand a load's time before its bound, and if that leaves no more time without any version than to
//     begin the newer one. A difference of up to a load's time counts as none, so that boxes that know of different pieces agree.
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

// isTight reports whether a usual outage of the origin would make the newer version ready only after the one before the older has ended.
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
	// The newer one's download begins when the older one's ends, while that one spreads and is loaded.
	newer := older.Add(s.newerRest)
	return max(older.Sub(latest(now, s.runsUntil)), 0) + max(newer.Sub(latest(older, s.olderUntil)), 0)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
