package fill

import (
	"time"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/swarm"
)

// outLink is a link that this box opened, to ask another for pieces.
type outLink struct {
	links  *links
	conn   *link.Conn
	member swarm.Member
	used   time.Time
	// heard is when the other box last sent anything; guarded by the mutex of the links.
	heard time.Time
	// joined is the version of which the other box was told last; guarded by the mutex of the links.
	joined contract.Version
}

// run takes what the other box sends until the link ends.
func (l *outLink) run() {
	b := l.links.box
	l.greet()
	defer func() {
		b.mu.Lock()
		if b.fill != nil && b.fill.feed != nil {
			b.fill.feed.PeerGone(l.member.ID)
		}
		b.mu.Unlock()
		b.wake()
	}()
	for {
		msg, err := l.conn.Receive()
		if err != nil {
			return
		}
		l.links.mu.Lock()
		l.heard = clock.Now()
		l.links.mu.Unlock()
		l.handle(msg)
	}
}

// greet tells the other box what is aimed at, and asks for its manifest when this one has none.
func (l *outLink) greet() {
	b := l.links.box
	f := b.current()
	if f == nil {
		return
	}
	if _, named := b.cfg.View.Target(f.model); !named.IsZero() {
		l.send(&link.Target{Model: f.model, Version: int64(f.version), Ago: clock.Since(named)})
	}
	l.join(f)
}

// join tells the other box what this one holds of a version; the other answers with what it holds.
func (l *outLink) join(f *filling) {
	b := l.links.box
	l.links.mu.Lock()
	l.joined = f.version
	l.links.mu.Unlock()
	b.mu.Lock()
	if f.feed == nil {
		b.mu.Unlock()
		l.send(&link.WantManifest{Model: f.model, Version: int64(f.version)})
		return
	}
	f.feed.Peer(l.member)
	have := &link.Have{Manifest: f.key, Reset: true, Chunks: f.feed.Held()}
	b.mu.Unlock()
	l.send(have)
	b.wake()
}

// handle takes one message.
func (l *outLink) handle(msg link.Message) {
	b := l.links.box
	switch m := msg.(type) {
	case *link.Manifest:
		if manifest, ok := manifestOf(m); ok {
			b.takeManifest(manifest, l.member.ID)
		}
	case *link.Target:
		b.cfg.View.OfferTarget(contract.Target{Model: m.Model, Version: contract.Version(m.Version)}, m.Ago)
	case *link.Have:
		if f := b.filling(m.Manifest); f != nil {
			b.mu.Lock()
			f.feed.PeerHas(l.member.ID, m.Reset, m.Chunks, m.Queue, clock.Now())
			b.mu.Unlock()
			b.wake()
		}
	case *link.Chunk:
		l.handleChunk(m)
	case *link.Decline:
		l.failed(m.Manifest, int(m.Chunk))
	}
}

// handleChunk takes a piece that was asked for.
func (l *outLink) handleChunk(m *link.Chunk) {
	b := l.links.box
	f := b.filling(m.Manifest)
	if f == nil {
		piecesTwice.Inc()
		return
	}
	if err := b.take(f, int(m.Chunk), l.member.ID, m.Waited, m.Body); err != nil {
		l.failed(m.Manifest, int(m.Chunk))
		return
	}
	if l.member.Site == b.cfg.Machine.Site {
		piecesNear.Inc()
	} else {
		piecesFar.Inc()
	}
}

// failed notes that a piece does not come from the other box now.
func (l *outLink) failed(key uint64, piece int) {
	b := l.links.box
	if f := b.filling(key); f != nil {
		b.mu.Lock()
		if piece < len(f.manifest.Digests) {
			f.feed.Failed(piece, l.member.ID, clock.Now())
		}
		b.mu.Unlock()
		b.wake()
	}
}

func (l *outLink) send(msg link.Message) { sendInTime(l.conn, msg) }
