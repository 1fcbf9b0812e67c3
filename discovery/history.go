package discovery

import (
	"time"

	"github.com/coralstair/coralstair/contract"
)

// history holds the target versions of a model and when each was first seen, the newest last.
type history struct {
	versions []namedVersion
}

type namedVersion struct {
	version contract.Version
	at      time.Time
}

// add appends a version and reports whether it is newer than all known ones.
func (h *history) add(version contract.Version, at time.Time) bool {
	if n := len(h.versions); n > 0 && h.versions[n-1].version >= version {
		return false
	}
	h.versions = append(h.versions, namedVersion{version: version, at: at})
	return true
}

// after returns when the first version newer than the given one was seen.
func (h *history) after(version contract.Version) (time.Time, bool) {
	if h == nil {
		return time.Time{}, false
	}
	for _, n := range h.versions {
		if n.version > version {
			return n.at, true
		}
	}
	return time.Time{}, false
}

// newest returns the newest version and when it was seen; 0 if there is none.
func (h *history) newest() (contract.Version, time.Time) {
	n := len(h.versions)
	if n == 0 {
		return 0, time.Time{}
	}
	return h.versions[n-1].version, h.versions[n-1].at
}
