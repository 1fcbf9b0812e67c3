package discovery

import (
	"slices"
	"time"

	"github.com/coralstair/coralstair/contract"
)

const (
	// maxNamed is how many of a model's versions are remembered: servers hardly run older ones.
	maxNamed = 8
	// namedTolerance is by how much a version must have been named earlier than known to be corrected: messages take that long.
	namedTolerance = 100 * time.Millisecond
)

// history holds the target versions of a model and when each was named, the newest last.
type history struct {
	versions []namedVersion
}

// namedVersion is a version and when it was named; estimated says that this is only assumed.
type namedVersion struct {
	version   contract.Version
	at        time.Time
	estimated bool
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
	if i == 0 && len(h.versions) == maxNamed {
		return false, false
	}
	newest = i == len(h.versions)
	h.versions = slices.Insert(h.versions, i, n)
	if surplus := len(h.versions) - maxNamed; surplus > 0 {
		h.versions = slices.Delete(h.versions, 0, surplus)
	}
	return true, newest
}

// correctedBy reports whether another time for the same version is more accurate: daemons hear of a version some time after it was named.
func (n namedVersion) correctedBy(other namedVersion) bool {
	if n.estimated != other.estimated {
		return n.estimated
	}
	return !n.estimated && other.at.Before(n.at.Add(-namedTolerance))
}

// after returns when the first version newer than the given one was named.
func (h *history) after(version contract.Version) (at time.Time, ok bool) {
	if h == nil {
		return time.Time{}, false
	}
	for _, n := range h.versions {
		if n.version > version && (!ok || n.at.Before(at)) {
			at, ok = n.at, true
		}
	}
	return at, ok
}

// newest returns the newest version and when it was named; 0 if there is none.
func (h *history) newest() (contract.Version, time.Time) {
	if h == nil || len(h.versions) == 0 {
		return 0, time.Time{}
	}
	last := h.versions[len(h.versions)-1]
	return last.version, last.at
}
