package fill

import (
	"context"

	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/link"
)

// A box tells the entries linked to it which sites are evacuated, as it hears it from any of them: an entry that the store does not serve
// learns it within a round trip.

// tellEvacuations sends the evacuated sites to all linked entries whenever they change, until ctx ends.
func (b *Box) tellEvacuations(ctx context.Context) error {
	var told discovery.Evacuations
	for {
		changed := b.cfg.View.Changed()
		if known, ok := b.cfg.View.Evacuations(); ok && !known.Equal(told) {
			told = known
			for _, l := range b.links.entryLinks() {
				l.send(&link.Evacuations{Known: known})
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// sendEvacuations sends an entry that has just linked the evacuated sites.
func (l *inboundLink) sendEvacuations() {
	if known, ok := l.links.box.cfg.View.Evacuations(); ok {
		l.send(&link.Evacuations{Known: known})
	}
}

// entryLinks returns the inbound links of entries.
func (ls *links) entryLinks() []*inboundLink {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	var in []*inboundLink
	for l := range ls.in {
		if l.entry {
			in = append(in, l)
		}
	}
	return in
}
