package fill

import (
	"sync"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/link"
)

// inLink is a link that another daemon opened: a box that asks for pieces, or an entry that hears reports.
type inLink struct {
	links  *links
	conn   *link.Conn
	id     string
	site   string
	entry  bool
	giving giving
	// weight is for how many entries an entry stands, host where it takes links, told the entries that it was told of; guarded by
	// the mutex of the links.
	weight float64
	host   string
	told   []string
	// awayAt is when the entry said that it has lost the store; guarded by the mutex of the links.
	awayAt time.Time

	mu sync.Mutex
	// key is the version of which the other box asks.
	key      uint64
	manifest *link.WantManifest
	reports  chan *link.Report
}

func newInLink(ls *links, conn *link.Conn, hello *link.Hello) *inLink {
	return &inLink{
		links: ls, conn: conn, id: hello.ID, site: hello.Site, entry: hello.Role == link.RoleEntry,
		weight: max(hello.Weight, 1), host: hello.Host,
		reports: make(chan *link.Report, 1),
	}
}

// run takes what the other daemon sends until the link ends.
func (l *inLink) run() {
	go func() {
		for l.sendNext() {
			continue
		}
	}()
	for {
		msg, err := l.conn.Receive()
		if err != nil {
			return
		}
		l.handle(msg)
	}
}

// handle takes one message.
func (l *inLink) handle(msg link.Message) {
	b := l.links.box
	switch m := msg.(type) {
	case *link.Hello:
		l.links.weigh(l, m.Weight)
	case *link.Target:
		b.cfg.View.OfferTarget(contract.Target{Model: m.Model, Version: contract.Version(m.Version)}, m.Ago)
	case *link.WantManifest:
		l.handleWantManifest(m)
	case *link.Have:
		l.handleHave(m)
	case *link.Want:
		l.handleWant(m)
	case *link.Declared:
		l.handleDeclared(m)
	case *link.Servers:
		l.handleServers(m)
	}
}

// handleWantManifest notes which manifest the other box waits for, and sends it when it is known.
func (l *inLink) handleWantManifest(m *link.WantManifest) {
	l.mu.Lock()
	l.manifest = m
	l.mu.Unlock()
	if f := l.links.box.current(); f != nil {
		l.giveManifest(f)
	}
}

// giveManifest sends the manifest that the other box waits for, if this is it.
func (l *inLink) giveManifest(f *filling) {
	b := l.links.box
	b.mu.Lock()
	m := f.manifest
	b.mu.Unlock()
	l.mu.Lock()
	want := l.manifest
	fits := want != nil && m != nil && want.Model == m.Model && contract.Version(want.Version) == m.Version
	if fits {
		l.manifest = nil
	}
	l.mu.Unlock()
	if fits {
		l.send(m.message())
	}
}

// handleHave takes what the other box holds: it asks for nothing of that, nor of another version.
func (l *inLink) handleHave(m *link.Have) {
	l.mu.Lock()
	l.key = m.Manifest
	l.mu.Unlock()
	l.links.box.giver.drop(l, m.Manifest, m.Chunks)
	if f := l.links.box.filling(m.Manifest); f != nil && m.Reset {
		l.tellHeld(f)
	}
}

// tellHeld tells the other box what this one holds.
func (l *inLink) tellHeld(f *filling) {
	b := l.links.box
	b.mu.Lock()
	have := &link.Have{Manifest: f.key, Reset: true, Chunks: f.feed.Held(), Queue: b.giver.waiting()}
	b.mu.Unlock()
	l.send(have)
}

// handleWant takes an ask for a piece, and declines one that is not held.
func (l *inLink) handleWant(m *link.Want) {
	b := l.links.box
	f := b.filling(m.Manifest)
	held := false
	if f != nil {
		b.mu.Lock()
		held = int(m.Chunk) < len(f.manifest.Digests) && f.feed.Holds(int(m.Chunk))
		b.mu.Unlock()
	}
	if !held {
		l.send(&link.Decline{Manifest: m.Manifest, Chunk: m.Chunk})
		return
	}
	b.giver.add(ask{link: l, key: m.Manifest, piece: int(m.Chunk), far: l.site != b.cfg.Machine.Site, turn: place(l.id)})
}

// begin answers a box that asked of a version before this box knew its manifest.
func (l *inLink) begin(f *filling) {
	l.giveManifest(f)
	if l.asksOf(f) {
		l.tellHeld(f)
	}
}

// asksOf reports whether a version is the one of which the other box asks.
func (l *inLink) asksOf(f *filling) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.key == f.key
}

// got tells the other box of a new piece, or of all once they are held.
func (l *inLink) got(f *filling, piece int, complete bool) {
	switch {
	case !l.asksOf(f):
	case complete:
		l.tellHeld(f)
	default:
		l.send(&link.Have{Manifest: f.key, Chunks: []uint32{uint32(piece)}, Queue: l.links.box.giver.waiting()})
	}
}

// offer hands a report to an entry; an older one that has not left yet gives way.
func (l *inLink) offer(report *link.Report) {
	for {
		select {
		case l.reports <- report:
			return
		default:
		}
		select {
		case <-l.reports:
		default:
		}
	}
}

// sendNext sends the next report; it reports whether the link still stands.
func (l *inLink) sendNext() bool {
	select {
	case <-l.conn.Context().Done():
		return false
	case report := <-l.reports:
		l.send(report)
	}
	return true
}

func (l *inLink) send(msg link.Message) { sendInTime(l.conn, msg) }

// sendInTime sends a message; a link that does not take it in time is ended.
func sendInTime(conn *link.Conn, msg link.Message) {
	if err := conn.SendWithin(askTime, msg); err != nil {
		conn.Close()
	}
}
