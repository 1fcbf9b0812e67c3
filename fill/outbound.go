package fill

import (
	"time"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/swarm"
)

// outboundLink is a link that this box opened to request pieces from another box.
type outboundLink struct {
	links  *links
	conn   *link.Conn
	member swarm.Member
	usedAt time.Time
	// receivedAt is when the last message arrived; guarded by the links' mutex.
	receivedAt time.Time
	// joined is the version that the other box was last notified of; guarded by the links' mutex.
	joined contract.Version
}

// run handles incoming messages until the link ends.
func (l *outboundLink) run() {
	b := l.links.box
	l.sendTargets()
	defer func() {
		b.mu.Lock()
		if b.active != nil && b.active.feed != nil {
			b.active.feed.PeerGone(l.member.ID)
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
		l.receivedAt = clock.Now()
		l.links.mu.Unlock()
		l.handle(msg)
	}
}

// sendTargets notifies the other box of the target versions and joins the one to which this box is updating.
func (l *outboundLink) sendTargets() {
	u := l.links.box.current()
	if u == nil {
		return
	}
	for _, target := range l.links.box.cfg.View.Targets() {
		l.send(link.NewTarget(target))
	}
	l.join(u)
}

// join sends the pieces that this box holds, which the other box answers with its own, or asks for the manifest.
func (l *outboundLink) join(u *update) {
	b := l.links.box
	l.links.mu.Lock()
	l.joined = u.version
	l.links.mu.Unlock()
	b.mu.Lock()
	if u.feed == nil {
		b.mu.Unlock()
		l.send(&link.WantManifest{Model: u.model, Version: int64(u.version)})
		return
	}
	u.feed.Peer(l.member)
	have := &link.Have{Manifest: u.key, Reset: true, Chunks: u.feed.Held()}
	b.mu.Unlock()
	l.send(have)
	b.wake()
}

func (l *outboundLink) handle(msg link.Message) {
	b := l.links.box
	switch m := msg.(type) {
	case *link.Manifest:
		if manifest, ok := manifestFromLink(m); ok {
			b.takeManifest(manifest, l.member.ID)
		}
	case *link.Target:
		b.cfg.View.ObserveTarget(m.Observed())
	case *link.Have:
		if u := b.updateByKey(m.Manifest); u != nil {
			b.mu.Lock()
			u.feed.PeerHas(l.member.ID, m.Reset, m.Chunks, m.Queue, clock.Now())
			b.mu.Unlock()
			b.wake()
		}
	case *link.Chunk:
		l.handleChunk(m)
	case *link.Decline:
		l.failed(m.Manifest, int(m.Chunk))
	}
}

func (l *outboundLink) handleChunk(m *link.Chunk) {
	b := l.links.box
	u := b.updateByKey(m.Manifest)
	if u == nil {
		piecesDuplicate.Inc()
		return
	}
	if err := b.acceptPiece(u, int(m.Chunk), l.member.ID, m.QueuedFor, m.Body); err != nil {
		l.failed(m.Manifest, int(m.Chunk))
		return
	}
	if l.member.Site == b.cfg.Machine.Site {
		piecesFromSite.Inc()
	} else {
		piecesFromOtherSites.Inc()
	}
}

// failed records that the other box does not deliver a piece for now.
func (l *outboundLink) failed(key uint64, piece int) {
	b := l.links.box
	if u := b.updateByKey(key); u != nil {
		b.mu.Lock()
		if piece < len(u.manifest.Digests) {
			u.feed.RequestFailed(piece, l.member.ID, clock.Now())
		}
		b.mu.Unlock()
		b.wake()
	}
}

func (l *outboundLink) send(msg link.Message) { sendOrClose(l.conn, msg) }
