package fill

import (
	"sync"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/link"
)

// inboundLink is a link opened by another daemon: a box that requests pieces, or an entry that receives reports.
type inboundLink struct {
	links   *links
	conn    *link.Conn
	id      string
	site    string
	entry   bool
	uploads uploadClock
	// weight is the number of entries that this one represents, host where it accepts links, sentHosts the entries last sent
	// to it; all guarded by the links' mutex.
	weight    float64
	host      string
	sentHosts []string
	// storeLostAt is when the entry reported that it lost the store; guarded by the links' mutex.
	storeLostAt time.Time

	mu sync.Mutex
	// requestedKey is the manifest key of the version that the other box requests.
	requestedKey   uint64
	wantedManifest *link.WantManifest
	reports        chan *link.Report
}

func newInboundLink(ls *links, conn *link.Conn, hello *link.Hello) *inboundLink {
	return &inboundLink{
		links: ls, conn: conn, id: hello.ID, site: hello.Site, entry: hello.Role == link.RoleEntry,
		weight: max(hello.Weight, 1), host: hello.Host,
		reports: make(chan *link.Report, 1),
	}
}

// run handles incoming messages until the link ends.
func (l *inboundLink) run() {
	go func() {
		for l.sendNextReport() {
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

func (l *inboundLink) handle(msg link.Message) {
	b := l.links.box
	switch m := msg.(type) {
	case *link.Hello:
		l.links.setWeight(l, m.Weight)
	case *link.Target:
		b.cfg.View.ObserveTarget(m.Observed())
	case *link.Evacuations:
		b.cfg.View.ObservePeerEvacuations(m.Known)
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

// sendTargets tells an entry that has just linked when versions were named: one that has started since can't know.
func (l *inboundLink) sendTargets() {
	for _, target := range l.links.box.cfg.View.Targets() {
		l.send(link.NewTarget(target))
	}
}

// handleWantManifest records which manifest the other box wants, and sends it if it is known.
func (l *inboundLink) handleWantManifest(m *link.WantManifest) {
	l.mu.Lock()
	l.wantedManifest = m
	l.mu.Unlock()
	if u := l.links.box.current(); u != nil {
		l.sendManifest(u)
	}
}

// sendManifest sends the update's manifest if it is the one that the other box wants.
func (l *inboundLink) sendManifest(u *update) {
	b := l.links.box
	b.mu.Lock()
	m := u.manifest
	b.mu.Unlock()
	l.mu.Lock()
	want := l.wantedManifest
	matches := want != nil && m != nil && want.Model == m.Model && contract.Version(want.Version) == m.Version
	if matches {
		l.wantedManifest = nil
	}
	l.mu.Unlock()
	if matches {
		l.send(m.message())
	}
}

// handleHave drops queued requests for pieces that the other box holds now, or for other versions.
func (l *inboundLink) handleHave(m *link.Have) {
	l.mu.Lock()
	l.requestedKey = m.Manifest
	l.mu.Unlock()
	l.links.box.uploader.cancel(l, m.Manifest, m.Chunks)
	if u := l.links.box.updateByKey(m.Manifest); u != nil && m.Reset {
		l.sendHeld(u)
	}
}

// sendHeld sends the other box the list of pieces that this box holds.
func (l *inboundLink) sendHeld(u *update) {
	b := l.links.box
	b.mu.Lock()
	have := &link.Have{Manifest: u.key, Reset: true, Chunks: u.feed.Held(), Queue: b.uploader.waiting()}
	b.mu.Unlock()
	l.send(have)
}

// handleWant queues a requested piece, or declines one that this box does not hold.
func (l *inboundLink) handleWant(m *link.Want) {
	b := l.links.box
	u := b.updateByKey(m.Manifest)
	held := false
	if u != nil {
		b.mu.Lock()
		held = int(m.Chunk) < len(u.manifest.Digests) && u.feed.Holds(int(m.Chunk))
		b.mu.Unlock()
	}
	if !held {
		l.send(&link.Decline{Manifest: m.Manifest, Chunk: m.Chunk})
		return
	}
	b.uploader.add(pieceRequest{link: l, key: m.Manifest, piece: int(m.Chunk), otherSite: l.site != b.cfg.Machine.Site, loadPlace: loadPlace(l.id)})
}

// announceManifest answers a box that asked for the version before this box knew its manifest.
func (l *inboundLink) announceManifest(u *update) {
	l.sendManifest(u)
	if l.requestsFrom(u) {
		l.sendHeld(u)
	}
}

// requestsFrom reports whether the other box requests pieces of the update's version.
func (l *inboundLink) requestsFrom(u *update) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requestedKey == u.key
}

// announcePiece announces a new piece to the other box, or all pieces once the version is complete.
func (l *inboundLink) announcePiece(u *update, piece int, complete bool) {
	switch {
	case !l.requestsFrom(u):
	case complete:
		l.sendHeld(u)
	default:
		l.send(&link.Have{Manifest: u.key, Chunks: []uint32{uint32(piece)}, Queue: l.links.box.uploader.waiting()})
	}
}

// queueReport queues a report for an entry; it replaces an older one that has not been sent.
func (l *inboundLink) queueReport(report *link.Report) {
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

// sendNextReport waits for a report and sends it; false once the link has ended.
func (l *inboundLink) sendNextReport() bool {
	select {
	case <-l.conn.Context().Done():
		return false
	case report := <-l.reports:
		l.send(report)
	}
	return true
}

func (l *inboundLink) send(msg link.Message) { sendOrClose(l.conn, msg) }

// sendOrClose sends a message, and closes a link that does not accept it within sendTimeout.
func sendOrClose(conn *link.Conn, msg link.Message) {
	if err := conn.SendWithin(sendTimeout, msg); err != nil {
		conn.Close()
	}
}
