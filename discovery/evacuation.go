package discovery

import (
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/store"
)

// Operators evacuate a site by a declared key and take that back by removing it. What a daemon knows is the set of evacuated sites as of
// a position in the store's history; of two such sets the later one holds, whether read from the store or told by a peer.

const (
	// lostEvacuationTTL is how long an evacuation stays in force that a restored store lacks: operators write it again within seconds.
	lostEvacuationTTL = 30 * time.Second
	// Evacuation grace is the part of the bound, 1/graceDivisor, in which a site's servers still get what no others take, so that its
	// load moves within seconds rather than at once.
	graceDivisor = 4
)

// Evacuations is the set of evacuated sites as of a position in the store's history.
type Evacuations struct {
	AsOf  Cursor
	Sites []string
	// Lost are sites among them whose evacuation a restored store lacks; they stay evacuated for LostFor.
	Lost    []string
	LostFor time.Duration
}

// Equal reports whether two sets hold the same sites, whatever their positions.
func (e Evacuations) Equal(other Evacuations) bool {
	return slices.Equal(e.Sites, other.Sites) && slices.Equal(e.Lost, other.Lost)
}

// EvacuationPhase says what a site's servers may get.
type EvacuationPhase int

const (
	// NotEvacuated sites get requests as usual.
	NotEvacuated EvacuationPhase = iota
	// EvacuationBegins means that the site's servers get only what no others take.
	EvacuationBegins
	// Evacuated sites get nothing new.
	Evacuated
)

// evacuations is a view's state of evacuations; the zero value knows none.
type evacuations struct {
	// asOf is the position as of which sites is known, if known.
	asOf  Cursor
	known bool
	// sites maps each evacuated site to when the grace for its servers ends.
	sites map[string]time.Time
	// lost maps sites whose evacuation a restored store lacks to when that ends.
	lost map[string]time.Time
	// returned holds the sites whose evacuation was taken back.
	returned map[string]siteReturn
}

// siteReturn is when the evacuation of a site was last taken back, and the store's epoch then.
type siteReturn struct {
	at    time.Time
	epoch store.Epoch
}

// after reports whether c is at or after other in the store's history.
func (c Cursor) after(other Cursor) bool {
	return c.Epoch > other.Epoch || c.Epoch == other.Epoch && c.Position >= other.Position
}

// Evacuation returns what the servers of a site may get, and when an evacuation of the site was last taken back, zero if never.
func (v *View) Evacuation(site string) (phase EvacuationPhase, returnedAt time.Time) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	ev := &v.evacuations
	if len(ev.sites)+len(ev.lost)+len(ev.returned) == 0 {
		return NotEvacuated, time.Time{}
	}
	now := v.now()
	until, evacuated := ev.sites[site]
	switch {
	case evacuated && now.Before(until):
		return EvacuationBegins, ev.returned[site].at
	case evacuated, now.Before(ev.lost[site]):
		return Evacuated, ev.returned[site].at
	}
	return NotEvacuated, ev.returned[site].at
}

// Evacuations returns the evacuated sites, sorted; ok is false until they are known.
func (v *View) Evacuations() (e Evacuations, ok bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	ev, now := &v.evacuations, v.now()
	e.AsOf = ev.asOf
	for site := range ev.sites {
		e.Sites = append(e.Sites, site)
	}
	for site, until := range ev.lost {
		if now.Before(until) {
			e.Lost = append(e.Lost, site)
			e.LostFor = max(e.LostFor, until.Sub(now))
		}
	}
	slices.Sort(e.Sites)
	slices.Sort(e.Lost)
	return e, ev.known
}

// ObservePeerEvacuations applies what a peer knows of evacuations, if it is later than what is known here. Sites that it adds have no
// grace, since the peer has known of them for some time.
func (v *View) ObservePeerEvacuations(e Evacuations) {
	v.mu.Lock()
	defer v.mu.Unlock()
	ev, changed := &v.evacuations, false
	if !ev.known || e.AsOf.after(ev.asOf) && e.AsOf != ev.asOf {
		named := make(map[string]bool, len(e.Sites))
		for _, site := range e.Sites {
			named[site] = true
		}
		changed = v.setEvacuated(named, e.AsOf, true, nil)
	}
	for _, site := range e.Lost {
		_, known := ev.lost[site]
		_, declared := ev.sites[site]
		back, returned := ev.returned[site]
		if e.AsOf.Epoch == ev.asOf.Epoch && !known && !declared && !(returned && back.epoch == e.AsOf.Epoch) {
			v.loseEvacuation(site, min(e.LostFor, lostEvacuationTTL))
			changed = true
		}
	}
	if changed {
		v.notify()
	}
}

// applyEvacuations applies what was read of evacuations, all of them if full, and reports whether a site's state changed; mu is held.
func (v *View) applyEvacuations(declared Declared, full bool) bool {
	ev := &v.evacuations
	if declared.Cursor.Position < 0 || ev.known && !declared.Cursor.after(ev.asOf) {
		return false
	}
	var grace map[string]time.Duration
	if !full {
		grace = v.evacuationGrace(declared)
	}
	return v.setEvacuated(declared.Evacuated, declared.Cursor, full, grace)
}

// evacuationGrace returns the grace of sites whose evacuation was read from the feed. It ends a quarter of the bound before the bound,
// for requests that are on their way, however late the feed is. mu is held.
func (v *View) evacuationGrace(declared Declared) map[string]time.Duration {
	grace, now, quarter := make(map[string]time.Duration), v.now(), v.opts.EvacuationBound/graceDivisor
	for site := range declared.Evacuated {
		began, known := v.opts.Timeline.Local(declared.EvacuatedNotBefore[site])
		switch {
		case known:
			grace[site] = max(min(quarter, began.Add(v.opts.EvacuationBound-quarter).Sub(now)), 0)
		case v.opts.Timeline == nil:
			grace[site] = quarter
		}
	}
	return grace
}

// loseEvacuation keeps a site evacuated for a time though the store lacks its evacuation; mu is held.
func (v *View) loseEvacuation(site string, keep time.Duration) {
	if v.evacuations.lost == nil {
		v.evacuations.lost = make(map[string]time.Time)
	}
	v.evacuations.lost[site] = v.now().Add(keep)
	v.opts.Log.WithFields(log.Fields{"site": site, "for_ms": keep.Milliseconds()}).Warn("view: a copy lacks an evacuation; it stays in force")
}

// setEvacuated sets the state of the named sites as of a position, with the grace that is left to each; if full, all others are not
// evacuated, unless the store was restored since. mu is held.
func (v *View) setEvacuated(named map[string]bool, asOf Cursor, full bool, grace map[string]time.Duration) (changed bool) {
	ev, now := &v.evacuations, v.now()
	restored := ev.known && asOf.Epoch > ev.asOf.Epoch
	ev.asOf, ev.known = asOf, true
	for site, evacuated := range named {
		_, known := ev.sites[site]
		_, lost := ev.lost[site]
		delete(ev.lost, site)
		switch {
		case evacuated && !known:
			if ev.sites == nil {
				ev.sites = make(map[string]time.Time)
			}
			ev.sites[site] = now.Add(grace[site])
			v.opts.Log.WithFields(log.Fields{"site": site, "grace_ms": grace[site].Milliseconds()}).Info("view: a site is evacuated")
			changed = true
		case !evacuated && (known || lost):
			v.endEvacuation(site, now)
			changed = true
		}
	}
	if full {
		changed = v.dropUnnamed(named, restored, now) || changed
	}
	evacuatedSites.Set(float64(len(ev.sites) + len(ev.lost)))
	return changed
}

// dropUnnamed ends the evacuation of sites that a full set lacks; those that a restored store lacks stay in force for a time. mu is held.
func (v *View) dropUnnamed(named map[string]bool, restored bool, now time.Time) (changed bool) {
	for site := range v.evacuations.sites {
		switch {
		case named[site]:
			continue
		case restored:
			delete(v.evacuations.sites, site)
			v.loseEvacuation(site, lostEvacuationTTL)
		default:
			v.endEvacuation(site, now)
		}
		changed = true
	}
	return changed
}

// endEvacuation records that a site's evacuation was taken back; mu is held.
func (v *View) endEvacuation(site string, now time.Time) {
	ev := &v.evacuations
	delete(ev.sites, site)
	if ev.returned == nil {
		ev.returned = make(map[string]siteReturn)
	}
	ev.returned[site] = siteReturn{at: now, epoch: ev.asOf.Epoch}
	v.opts.Log.WithField("site", site).Info("view: a site is no longer evacuated")
}
