package fill

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/link"
)

// storeLostBackoff is how long an entry that lost the store is not chosen as the relay.
const storeLostBackoff = 3 * time.Second

// chooseRelay picks the entry that passes on what the store holds. Entries of this site come first; each box has its own
// order of entries, to spread the work.
func (ls *links) chooseRelay() {
	if ls.box.cfg.PeerSource == nil {
		return
	}
	ls.mu.Lock()
	old := ls.relay
	if old != nil && !ls.canRelay(old) {
		ls.relay = nil
	}
	for l := range ls.in {
		if ls.canRelay(l) && (ls.relay == nil || ls.relaysBefore(l, ls.relay)) {
			ls.relay = l
		}
	}
	chosen := ls.relay
	ls.mu.Unlock()
	if chosen == old {
		return
	}
	if old != nil {
		old.send(&link.Follow{})
		ls.box.cfg.PeerSource.PeerLost()
	}
	if chosen != nil {
		chosen.send(&link.Follow{Service: ls.box.cfg.Machine.Service})
	}
}

// canRelay reports whether a link is to an entry that has not lost the store recently; mu is held.
func (ls *links) canRelay(l *inboundLink) bool {
	return ls.in[l] && l.entry && clock.Since(l.storeLostAt) > storeLostBackoff
}

// relaysBefore reports whether entry a is preferred to b as the relay.
func (ls *links) relaysBefore(a, b *inboundLink) bool {
	own := ls.box.cfg.Machine.Site
	if near := a.site == own; near != (b.site == own) {
		return near
	}
	return ls.relayScore(a) < ls.relayScore(b)
}

func (ls *links) relayScore(l *inboundLink) uint64 {
	return xxhash.Sum64String(ls.box.cfg.Machine.Address + "/" + l.id)
}

func (ls *links) isRelay(l *inboundLink) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.relay == l
}

// handleDeclared applies the configuration that the relay sends, and chooses another relay if this one lost the store.
func (l *inboundLink) handleDeclared(m *link.Declared) {
	switch {
	case !l.links.isRelay(l):
	case m.StoreLost:
		l.links.mu.Lock()
		l.storeLostAt = clock.Now()
		l.links.mu.Unlock()
		l.links.chooseRelay()
	default:
		l.links.box.cfg.PeerSource.ApplyDeclared(m)
	}
}

// handleServers applies the list of servers that the relay sends.
func (l *inboundLink) handleServers(m *link.Servers) {
	if l.links.isRelay(l) {
		l.links.box.cfg.PeerSource.ApplyServers(m)
	}
}
