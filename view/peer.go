package view

import (
	"time"

	"github.com/coralstair/coralstair/contract"
)

// Other daemons tell which revision of the configuration they know. One that is newer than the own shows that the own feed is late
// or that the store came back from a copy and this daemon, started since, knows only that.

const (
	// behindFor is how long a daemon takes a newer revision that others know to be in force without reading it: operators write
	// again what a copy lacks, within seconds.
	behindFor = 30 * time.Second
	// freshFor is how long after its first configuration a daemon counts as started of late, lateAfter how long its feed may be
	// late meanwhile: changes in quick succession are read 0.5 s apart.
	freshFor  = 10 * time.Second
	lateAfter = 600 * time.Millisecond
)

// offer is the newest revision that others know, and since when one newer than the own is.
type offer struct {
	revision contract.Revision
	since    time.Time
}

// OfferRevision notes a revision of the configuration that another daemon knows.
func (v *View) OfferRevision(revision contract.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if revision <= v.offered.revision {
		return
	}
	if !v.behind() {
		v.offered.since = v.now()
	}
	v.offered.revision = revision
}

// Outdated reports whether this daemon started of late and knows only an older configuration than others do: it is not to serve by
// it, since keys may have been taken away since.
func (v *View) Outdated() bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	now := v.now()
	return v.behind() && now.Sub(v.configured) < freshFor && now.Sub(v.offered.since) > lateAfter
}

// behind reports whether others know a newer configuration; mu is held.
func (v *View) behind() bool {
	return v.config != nil && v.config.Revision < v.offered.revision && v.now().Sub(v.offered.since) < behindFor
}
