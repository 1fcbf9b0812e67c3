package box

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/swarm"
)

const (
	peersInterval      = 250 * time.Millisecond
	dialTimeout        = 5 * time.Second
	redialDelay        = time.Second
	yieldDelay         = 1500 * time.Millisecond
	peerSilenceTimeout = 20 * time.Second
	idleLinkTimeout    = 15 * time.Second
)

// peers keeps the links to other boxes that the transfer needs.
type peers struct {
	box *Box

	mu        sync.Mutex
	links     map[string]*peerLink
	dialing   map[string]bool
	dialAfter map[string]time.Time
	neededAt  map[string]time.Time
}

// peerLink is a link to another box; dialer is the id of the box that opened it.
type peerLink struct {
	conn        *link.Conn
	dialer      string
	incarnation string
}

func newPeers(b *Box) *peers {
	return &peers{
		box:       b,
		links:     make(map[string]*peerLink),
		dialing:   make(map[string]bool),
		dialAfter: make(map[string]time.Time),
		neededAt:  make(map[string]time.Time),
	}
}

// Serve opens the links that are needed, and closes idle ones that this box opened, until ctx ends.
func (p *peers) Serve(ctx context.Context) error {
	ticker := time.NewTicker(peersInterval)
	defer ticker.Stop()
	for {
		p.box.transfer.SetMembers(p.box.swarmMembers())
		for _, member := range p.box.transfer.Wanted() {
			p.ensureLink(ctx, member)
		}
		p.closeIdle()
		changed := p.box.members.Changed()
		select {
		case <-ctx.Done():
			p.closeAll()
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
		}
	}
}

func (p *peers) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.conn.Close()
	}
}

func (p *peers) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range p.links {
		if l.dialer == p.box.cfg.ID && time.Since(p.neededAt[id]) > idleLinkTimeout {
			l.conn.Close()
		}
	}
}

// dial opens a link and serves it until it ends.
func (p *peers) dial(ctx context.Context, id, address string) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.dialing, id)
		p.dialAfter[id] = time.Now().Add(redialDelay/2 + rand.N(redialDelay))
	}()
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := link.Dial(dialCtx, p.box.cfg.LinkClient, address, p.box.pacer)
	if err != nil {
		p.box.log.WithError(err).WithField("peer", id).Debug("box: peer not reached")
		return
	}
	defer conn.Close()
	if conn.Send(ctx, p.box.hello()) != nil {
		return
	}
	msg, err := conn.Receive()
	if err != nil {
		return
	}
	hello, ok := msg.(*link.Hello)
	if !ok || hello.ID != id {
		return
	}
	p.run(conn, hello, p.box.cfg.ID)
}

// register starts to use a link. Of two links between the same daemons, the one that the smaller id opened stays; a link of
// a newer daemon replaces that of an earlier one.
func (p *peers) register(id string, l *peerLink) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.links[id]
	if old != nil && old.incarnation == l.incarnation && old.dialer != l.dialer && old.dialer < l.dialer {
		return false
	}
	if old != nil {
		old.conn.Close()
	}
	p.links[id] = l
	p.neededAt[id] = time.Now()
	return true
}

// run serves a link after the handshake until it ends.
func (p *peers) run(conn *link.Conn, hello *link.Hello, dialer string) {
	l := &peerLink{conn: conn, dialer: dialer, incarnation: hello.Incarnation}
	if !p.register(hello.ID, l) {
		return
	}
	defer p.unregister(hello.ID, l)
	peer := p.box.transfer.AddPeer(conn.Context(), swarm.Member{ID: hello.ID, Site: hello.Site}, conn)
	defer p.box.transfer.RemovePeer(peer)
	p.box.syncRevision(conn, hello.Revision)
	silence := time.AfterFunc(peerSilenceTimeout, conn.Close)
	defer silence.Stop()
	go p.sendHeartbeats(conn)
	for {
		msg, err := conn.Receive()
		if err != nil {
			return
		}
		silence.Reset(peerSilenceTimeout)
		switch m := msg.(type) {
		case *link.Heartbeat:
			p.box.syncRevision(conn, m.Revision)
		case *link.Config:
			p.box.follower.Update(m.Config)
		default:
			peer.Handle(msg)
		}
	}
}

func (p *peers) sendHeartbeats(conn *link.Conn) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-conn.Context().Done():
			return
		}
		if conn.Send(conn.Context(), &link.Heartbeat{Revision: p.box.follower.Config().Revision}) != nil {
			return
		}
	}
}

func (p *peers) unregister(id string, l *peerLink) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[id] == l {
		delete(p.links, id)
	}
}

// ensureLink opens a link to a box unless there is one. Within a site the smaller id dials first, since the other box usually
// needs the link as well.
func (p *peers) ensureLink(ctx context.Context, member swarm.Member) {
	address := p.address(member.ID)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.neededAt[member.ID] = time.Now()
	if address == "" || p.links[member.ID] != nil || p.dialing[member.ID] {
		return
	}
	after, known := p.dialAfter[member.ID]
	if !known && member.Site == p.box.cfg.Site && p.box.cfg.ID > member.ID {
		after = time.Now().Add(yieldDelay)
		p.dialAfter[member.ID] = after
	}
	if time.Now().Before(after) {
		return
	}
	p.dialing[member.ID] = true
	go p.dial(ctx, member.ID, address)
}

func (p *peers) address(id string) string {
	for _, member := range p.box.members.Members() {
		if member.ID == id {
			return member.Address
		}
	}
	return ""
}
