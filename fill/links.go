package fill

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/swarm"
)

const (
	// dialTimeout bounds opening a link; redialDelay is the pause after one that failed or ended.
	dialTimeout = time.Second
	redialDelay = 500 * time.Millisecond
	// sendTimeout is how long a full link may block a message before the link is closed.
	sendTimeout = 100 * time.Millisecond
	// keepAliveInterval and keepAliveProbes detect a box that is unreachable.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	linkBufferBytes   = 2 << 10
	// idleLinkTimeout is how long an unused link to another box stays open.
	idleLinkTimeout = 6 * time.Second
	// linkSilenceTimeout is how long a link with a failed request may have been silent before it is closed and redialled.
	linkSilenceTimeout = 3 * time.Second
)

// links holds the outbound links, on which the box requests pieces, and the inbound links, on which it uploads to boxes and
// reports to entries.
type links struct {
	box    *Box
	client *http.Client

	mu sync.Mutex
	// out and dialing are the outbound links that are open and being opened, by the other box's id; redialAfter is when
	// one may be opened again.
	out         map[string]*outboundLink
	dialing     map[string]bool
	redialAfter map[string]time.Time
	// in are the inbound links; entryCount counts the entries among them.
	in         map[*inboundLink]bool
	entryCount int
	// weightSum is the sum of the entries' weights.
	weightSum float64
	// recentCounts are the larger counts of entries of the last window.
	recentCounts []recentCount
	// relay is the entry that passes on what the store holds; nil while there is none.
	relay *inboundLink
}

func newLinks(b *Box) *links {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
	}
	return &links{
		box: b,
		client: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, ReadBufferSize: linkBufferBytes, WriteBufferSize: linkBufferBytes,
		}},
		out: make(map[string]*outboundLink), dialing: make(map[string]bool), redialAfter: make(map[string]time.Time),
		in: make(map[*inboundLink]bool),
	}
}

// accept serves an inbound link until it ends.
func (ls *links) accept(w http.ResponseWriter, r *http.Request) {
	conn, err := link.Accept(w, r, ls.box.pacer)
	if err != nil {
		return
	}
	defer conn.Close()
	msg, err := conn.Receive()
	hello, ok := msg.(*link.Hello)
	if err != nil || !ok {
		return
	}
	l := newInboundLink(ls, conn, hello)
	ls.add(l)
	defer ls.remove(l)
	ls.box.log.WithField("peer", hello.ID).WithField("role", hello.Role).Debug("fill: link taken")
	l.run()
}

func (ls *links) add(l *inboundLink) {
	ls.mu.Lock()
	for older := range ls.in {
		// A daemon that reopens its link may be the only side that noticed the loss of the older one.
		if older.id == l.id && older.entry == l.entry {
			older.conn.Close()
		}
	}
	ls.in[l] = true
	ls.countEntries()
	ls.mu.Unlock()
	if l.entry {
		ls.box.sendReport()
		l.sendEvacuations()
		l.sendTargets()
		ls.chooseRelay()
	}
}

func (ls *links) remove(l *inboundLink) {
	ls.box.uploader.removeLink(l)
	ls.mu.Lock()
	delete(ls.in, l)
	ls.countEntries()
	ls.mu.Unlock()
	ls.chooseRelay()
}

// setWeight updates the number of entries that an entry represents.
func (ls *links) setWeight(l *inboundLink, weight float64) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	l.weight = max(weight, 1)
	ls.countEntries()
}

// countEntries updates entryCount and weightSum; mu is held.
func (ls *links) countEntries() {
	before := recentCount{count: ls.entryCount, weight: ls.weightSum, until: clock.Now().Add(ls.box.cfg.Machine.Bounds.RetryWindow)}
	ls.entryCount, ls.weightSum = 0, 0
	for l := range ls.in {
		if l.entry {
			ls.entryCount++
			ls.weightSum += l.weight
		}
	}
	if ls.entryCount < before.count {
		ls.recentCounts = append(ls.recentCounts, before)
	}
}

// recentCount is a number of entries, with the sum of their weights, that counts until a window after it has fallen.
type recentCount struct {
	count  int
	weight float64
	until  time.Time
}

// sendEntryHosts sends each entry the hosts of the entries of its site if they changed: one entry of a site reads the list of
// servers for all.
func (ls *links) sendEntryHosts() {
	ls.mu.Lock()
	bySite := make(map[string][]string)
	for l := range ls.in {
		if l.entry && l.host != "" {
			bySite[l.site] = append(bySite[l.site], l.host)
		}
	}
	for _, hosts := range bySite {
		slices.Sort(hosts)
	}
	var changed []*inboundLink
	for l := range ls.in {
		if hosts := bySite[l.site]; l.entry && l.host != "" && !slices.Equal(hosts, l.sentHosts) {
			l.sentHosts = hosts
			changed = append(changed, l)
		}
	}
	ls.mu.Unlock()
	for _, l := range changed {
		l.send(&link.Entries{Hosts: bySite[l.site]})
	}
}

// entries returns how many entries were linked at most in the last window, and the sum of their weights. Entries divide what they share by
// it: when all restart, each would otherwise take itself for one of few.
func (ls *links) entries() (count int, weight float64) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	count, weight = ls.entryCount, ls.weightSum
	now := clock.Now()
	ls.recentCounts = slices.DeleteFunc(ls.recentCounts, func(r recentCount) bool { return now.After(r.until) })
	for _, recent := range ls.recentCounts {
		count, weight = max(count, recent.count), max(weight, recent.weight)
	}
	return count, weight
}

// broadcastReport queues a report for all linked entries.
func (ls *links) broadcastReport(report *link.Report) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for l := range ls.in {
		if l.entry {
			l.queueReport(report)
			reportsSent.Inc()
		}
	}
}

// ensureLinks opens missing links to boxes and marks the existing ones as used.
func (ls *links) ensureLinks(ctx context.Context, members []swarm.Member) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	now := clock.Now()
	for _, member := range members {
		switch {
		case member.ID == ls.box.cfg.Machine.Address:
		case ls.out[member.ID] != nil:
			ls.out[member.ID].usedAt = now
		case ls.dialing[member.ID] || now.Before(ls.redialAfter[member.ID]):
		default:
			ls.dialing[member.ID] = true
			go ls.dial(ctx, member)
		}
	}
}

// rejoin joins a version on links that were opened for an earlier one.
func (ls *links) rejoin(u *update) {
	ls.mu.Lock()
	var out []*outboundLink
	for _, l := range ls.out {
		if l.joined != u.version {
			out = append(out, l)
		}
	}
	ls.mu.Unlock()
	for _, l := range out {
		l.join(u)
	}
}

// closeIdle closes links that have not been used for idleLinkTimeout.
func (ls *links) closeIdle() {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, l := range ls.out {
		if clock.Since(l.usedAt) > idleLinkTimeout {
			l.conn.Close()
		}
	}
}

// dial opens a link and serves it until it ends.
func (ls *links) dial(ctx context.Context, member swarm.Member) {
	defer func() {
		ls.mu.Lock()
		defer ls.mu.Unlock()
		delete(ls.dialing, member.ID)
		ls.redialAfter[member.ID] = clock.Now().Add(redialDelay)
	}()
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := link.Dial(dialCtx, ls.client, ls.box.cfg.Machine.LinkAddress(member.ID), nil)
	if err != nil {
		return
	}
	defer conn.Close()
	hello := &link.Hello{ID: ls.box.cfg.Machine.Address, Role: link.RoleBox, Site: ls.box.cfg.Machine.Site}
	if err := conn.Send(dialCtx, hello); err != nil {
		return
	}
	now := clock.Now()
	l := &outboundLink{links: ls, conn: conn, member: member, usedAt: now, receivedAt: now}
	ls.mu.Lock()
	ls.out[member.ID] = l
	delete(ls.dialing, member.ID)
	ls.mu.Unlock()
	l.run()
	ls.mu.Lock()
	if ls.out[member.ID] == l {
		delete(ls.out, member.ID)
	}
	ls.mu.Unlock()
}

// announceManifest announces on all links that the version's manifest is known and its pieces can be exchanged.
func (ls *links) announceManifest(u *update) {
	ls.mu.Lock()
	out := slices.Collect(maps.Values(ls.out))
	ls.mu.Unlock()
	in := ls.inboundBoxes()
	for _, l := range out {
		l.join(u)
	}
	for _, l := range in {
		l.announceManifest(u)
	}
}

// inboundBoxes returns the inbound links of boxes.
func (ls *links) inboundBoxes() []*inboundLink {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	var in []*inboundLink
	for l := range ls.in {
		if !l.entry {
			in = append(in, l)
		}
	}
	return in
}

// requestPiece requests a piece from a box that holds it.
func (ls *links) requestPiece(u *update, peer string, piece int) {
	ls.sendTo(peer, &link.Want{Manifest: u.key, Chunk: uint32(piece)})
}

// cancelRequest cancels a piece request; a link that has been silent for too long is closed instead.
func (ls *links) cancelRequest(u *update, peer string, piece int) {
	ls.mu.Lock()
	l := ls.out[peer]
	silent := l != nil && clock.Since(l.receivedAt) > linkSilenceTimeout
	ls.mu.Unlock()
	if silent {
		l.conn.Close()
		return
	}
	ls.sendCancel(u, peer, piece)
}

// sendCancel notifies a box that a requested piece is no longer wanted.
func (ls *links) sendCancel(u *update, peer string, piece int) {
	ls.sendTo(peer, &link.Have{Manifest: u.key, Chunks: []uint32{uint32(piece)}})
}

// sendTo sends a message on the outbound link to a box, if there is one.
func (ls *links) sendTo(peer string, msg link.Message) {
	ls.mu.Lock()
	l := ls.out[peer]
	ls.mu.Unlock()
	if l != nil {
		l.send(msg)
	}
}

// announcePiece announces a new piece to boxes of this site not known to hold it, and to other sites if this box downloads it
// from the origin for them; a complete version is announced to all. It cancels the request to the box in asked, which has not
// sent the piece.
func (ls *links) announcePiece(u *update, piece int, asked string, complete, downloader bool) {
	in := ls.inboundBoxes()
	ls.sendCancel(u, asked, piece)
	ls.box.mu.Lock()
	in = slices.DeleteFunc(in, func(l *inboundLink) bool {
		return !complete && (!downloader && l.site != ls.box.cfg.Machine.Site || u.feed.PeerHolds(l.id, piece))
	})
	ls.box.mu.Unlock()
	for _, l := range in {
		l.announcePiece(u, piece, complete)
	}
}
