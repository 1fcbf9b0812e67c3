package discovery

import (
	"slices"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/store"
)

const (
	// MaxNamed is how many of a model's versions are remembered; the bounds of older ones have passed.
	MaxNamed = 8
	// namedTolerance is the smallest correction of when a version was named that is worth a message to other daemons.
	namedTolerance = 100 * time.Millisecond
)

// history holds the target versions of a model and when each was named, the newest last.
type history struct {
	versions []namedVersion
}

// namedVersion is a version and the time from which its bound counts, which must not be later than when it was named.
type namedVersion struct {
	version contract.Version
	// notBefore is the latest known time of the store's clock at which the version was not named yet, 0 if unknown.
	notBefore store.Time
	// at is the same by this process's clock; the zero time if nothing is known, so that the bound has passed.
	at time.Time
	// unrecorded is set while notBefore is to be written to the store.
	unrecorded bool
}

// add adds a version, or corrects when a known one was named. It reports whether that changed anything, and whether the version is newer
// than all others.
func (h *history) add(n namedVersion) (changed, newest bool) {
	i, known := slices.BinarySearchFunc(h.versions, n, func(a, b namedVersion) int { return int(a.version - b.version) })
	if known {
		changed = h.versions[i].correctedBy(n)
		if changed {
			h.versions[i] = n
		}
		return changed, false
	}
	if i == 0 && len(h.versions) == MaxNamed {
		return false, false
	}
	newest = i == len(h.versions)
	h.versions = slices.Insert(h.versions, i, n)
	if surplus := len(h.versions) - MaxNamed; surplus > 0 {
		h.versions = slices.Delete(h.versions, 0, surplus)
	}
	return true, newest
}

// correctedBy reports whether another time for the same version is more accurate. Of two times before which it was not named the later
// one is; without such times the earlier one is, since daemons hear of a version after it was named.
func (n namedVersion) correctedBy(other namedVersion) bool {
	switch {
	case n.notBefore != 0 || other.notBefore != 0:
		return n.notBefore == 0 || other.notBefore-n.notBefore > store.Time(namedTolerance.Milliseconds())
	case n.at.IsZero() || other.at.IsZero():
		return !other.at.IsZero()
	}
	return other.at.Before(n.at.Add(-namedTolerance))
}

// get returns a version that was named.
func (h *history) get(version contract.Version) (n namedVersion, ok bool) {
	if h == nil {
		return namedVersion{}, false
	}
	i, ok := slices.BinarySearchFunc(h.versions, version, func(n namedVersion, version contract.Version) int { return int(n.version - version) })
	if !ok {
		return namedVersion{}, false
	}
	return h.versions[i], true
}

// newer returns the versions that are newer than a given one, the oldest first.
func (h *history) newer(version contract.Version) []namedVersion {
	if h == nil {
		return nil
	}
	i := len(h.versions)
	for i > 0 && h.versions[i-1].version > version {
		i--
	}
	return h.versions[i:]
}

// mayHaveForgotten reports whether a version newer than a given one may have been named that is not remembered any more.
func (h *history) mayHaveForgotten(version contract.Version) bool {
	return h != nil && len(h.versions) == MaxNamed && version < h.versions[0].version
}

// newest returns the newest version, 0 if there is none.
func (h *history) newest() contract.Version {
	if h == nil || len(h.versions) == 0 {
		return 0
	}
	return h.versions[len(h.versions)-1].version
}
