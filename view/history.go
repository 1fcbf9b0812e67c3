package view

import (
	"time"

	"github.com/coralstair/coralstair/contract"
)

// history is when which versions of a model were named, the newest last.
type history struct {
	named []named
}

type named struct {
	version contract.Version
	at      time.Time
}

// add notes a version unless one as new is known.
func (h *history) add(version contract.Version, at time.Time) bool {
	if n := len(h.named); n > 0 && h.named[n-1].version >= version {
		return false
	}
	h.named = append(h.named, named{version: version, at: at})
	return true
}

// after returns when the first version newer than one was named.
func (h *history) after(version contract.Version) (time.Time, bool) {
	if h == nil {
		return time.Time{}, false
	}
	for _, n := range h.named {
		if n.version > version {
			return n.at, true
		}
	}
	return time.Time{}, false
}

// newest returns the newest version and when it was named; 0 while none was.
func (h *history) newest() (contract.Version, time.Time) {
	n := len(h.named)
	if n == 0 {
		return 0, time.Time{}
	}
	return h.named[n-1].version, h.named[n-1].at
}
