package fill

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/link"
)

// awayRest is how long an entry that had lost the store is not chosen to tell what it holds.
const awayRest = 3 * time.Second

// chooseRelay has one of the linked entries tell what the store holds: one of the own site first, each box by an order of
// its own, so that entries share the work.
func (ls *links) chooseRelay() {
	if ls.box.cfg.Told == nil {
		return
	}
	ls.mu.Lock()
	old := ls.teller
	if old != nil && !ls.mayTell(old) {
		ls.teller = nil
	}
	for l := range ls.in {
		if ls.mayTell(l) && (ls.teller == nil || ls.tellsBefore(l, ls.teller)) {
			ls.teller = l
		}
	}
	chosen := ls.teller
	ls.mu.Unlock()
	if chosen == old {
		return
	}
	if old != nil {
		old.send(&link.Follow{})
		ls.box.cfg.Told.Silent()
	}
	if chosen != nil {
		chosen.send(&link.Follow{Service: ls.box.cfg.Machine.Service})
	}
}

// mayTell reports whether a link is to an entry that has not lost the store; mu is held.
func (ls *links) mayTell(l *inLink) bool {
	return ls.in[l] && l.entry && clock.Since(l.awayAt) > awayRest
}

// tellsBefore orders entries that may tell.
func (ls *links) tellsBefore(a, b *inLink) bool {
	own := ls.box.cfg.Machine.Site
	if near := a.site == own; near != (b.site == own) {
		return near
	}
	return ls.tellerScore(a) < ls.tellerScore(b)
}

func (ls *links) tellerScore(l *inLink) uint64 {
	return xxhash.Sum64String(ls.box.cfg.Machine.Address + "/" + l.id)
}

// isTeller reports whether a link is to the entry that tells what the store holds.
func (ls *links) isTeller(l *inLink) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.teller == l
}

// handleDeclared takes what an entry tells of the configuration.
func (l *inLink) handleDeclared(m *link.Declared) {
	switch {
	case !l.links.isTeller(l):
	case m.Away:
		l.links.mu.Lock()
		l.awayAt = clock.Now()
		l.links.mu.Unlock()
		l.links.chooseRelay()
	default:
		l.links.box.cfg.Told.TakeDeclared(m)
	}
}

// handleServers takes what an entry tells of the list of servers.
func (l *inLink) handleServers(m *link.Servers) {
	if l.links.isTeller(l) {
		l.links.box.cfg.Told.TakeServers(m)
	}
}
