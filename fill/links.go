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
	// dialTime bounds the opening of a link, dialPause is the pause after one that failed or ended.
	dialTime  = time.Second
	dialPause = 500 * time.Millisecond
	// askTime is how long a full link may hold up a message before it is ended.
	askTime = 100 * time.Millisecond
	// keepIdle and keepProbes find a box that is cut off.
	keepIdle   = time.Second
	keepProbes = 2
	linkBuffer = 2 << 10
	// restTime is how long after its last use a link to another box stays.
	restTime = 6 * time.Second
	// linkSilence is how long a box that was asked in vain may have sent nothing before its link is ended and a new one is
	// tried: a link may fall silent for good while new ones work.
	linkSilence = 3 * time.Second
)

// links are a box's links: those it opened, on which it asks other boxes, and those it took, on which it gives to boxes
// and reports to entries.
type links struct {
	box    *Box
	client *http.Client

	mu sync.Mutex
	// out are the links this box opened, dialing those it is opening, by the other box's id; after is when one may be opened
	// again.
	out     map[string]*outLink
	dialing map[string]bool
	after   map[string]time.Time
	// in are the links it took; hearing counts the entries among them.
	in      map[*inLink]bool
	hearing int
	// standing is for how many entries those stand that hear this box.
	standing float64
	// teller is the entry that tells what the store holds; nil while none does.
	teller *inLink
}

func newLinks(b *Box) *links {
	dialer := &net.Dialer{
		Timeout:         dialTime,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepIdle, Count: keepProbes},
	}
	return &links{
		box: b,
		client: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, ReadBufferSize: linkBuffer, WriteBufferSize: linkBuffer,
		}},
		out: make(map[string]*outLink), dialing: make(map[string]bool), after: make(map[string]time.Time),
		in: make(map[*inLink]bool),
	}
}

// accept takes a link that another daemon opens.
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
	l := newInLink(ls, conn, hello)
	ls.add(l)
	defer ls.remove(l)
	ls.box.log.WithField("peer", hello.ID).WithField("role", hello.Role).Debug("fill: link taken")
	l.run()
}

func (ls *links) add(l *inLink) {
	ls.mu.Lock()
	for older := range ls.in {
		// A daemon opens a new link when the one before is lost to it, which only it may have noticed.
		if older.id == l.id && older.entry == l.entry {
			older.conn.Close()
		}
	}
	ls.in[l] = true
	ls.countEntries()
	ls.mu.Unlock()
	if l.entry {
		ls.box.sendReport()
		ls.chooseRelay()
	}
}

func (ls *links) remove(l *inLink) {
	ls.box.giver.leave(l)
	ls.mu.Lock()
	delete(ls.in, l)
	ls.countEntries()
	ls.mu.Unlock()
	ls.chooseRelay()
}

// weigh notes for how many entries an entry stands now.
func (ls *links) weigh(l *inLink, weight float64) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	l.weight = max(weight, 1)
	ls.countEntries()
}

// countEntries counts the entries that hear this box; mu is held.
func (ls *links) countEntries() {
	ls.hearing, ls.standing = 0, 0
	for l := range ls.in {
		if l.entry {
			ls.hearing++
			ls.standing += l.weight
		}
	}
}

// tellEntries tells the entries that hear this box of the others of their sites, if these have changed: one entry of a site reads
// the list of servers for the others.
func (ls *links) tellEntries() {
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
	var changed []*inLink
	for l := range ls.in {
		if hosts := bySite[l.site]; l.entry && l.host != "" && !slices.Equal(hosts, l.told) {
			l.told = hosts
			changed = append(changed, l)
		}
	}
	ls.mu.Unlock()
	for _, l := range changed {
		l.send(&link.Entries{Hosts: bySite[l.site]})
	}
}

// entries returns how many entries hear this box, and for how many they stand.
func (ls *links) entries() (hearing int, standing float64) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.hearing, ls.standing
}

// tell sends a message to all entries that hear this box; one whose link is full misses it.
func (ls *links) tell(report *link.Report) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for l := range ls.in {
		if l.entry {
			l.offer(report)
			reportsSent.Inc()
		}
	}
}

// want opens links to the boxes to which there is none.
func (ls *links) want(ctx context.Context, members []swarm.Member) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	now := clock.Now()
	for _, member := range members {
		switch {
		case member.ID == ls.box.cfg.Machine.Address:
		case ls.out[member.ID] != nil:
			ls.out[member.ID].used = now
		case ls.dialing[member.ID] || now.Before(ls.after[member.ID]):
		default:
			ls.dialing[member.ID] = true
			go ls.dial(ctx, member)
		}
	}
}

// rejoin asks for the manifest of a version over the links that stood before it was aimed at.
func (ls *links) rejoin(f *filling) {
	ls.mu.Lock()
	var out []*outLink
	for _, l := range ls.out {
		if l.joined != f.version {
			out = append(out, l)
		}
	}
	ls.mu.Unlock()
	for _, l := range out {
		l.join(f)
	}
}

// rest ends links that have not been used for some time.
func (ls *links) rest() {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, l := range ls.out {
		if clock.Since(l.used) > restTime {
			l.conn.Close()
		}
	}
}

// dial opens a link and runs it until it ends.
func (ls *links) dial(ctx context.Context, member swarm.Member) {
	defer func() {
		ls.mu.Lock()
		defer ls.mu.Unlock()
		delete(ls.dialing, member.ID)
		ls.after[member.ID] = clock.Now().Add(dialPause)
	}()
	dialCtx, cancel := context.WithTimeout(ctx, dialTime)
	defer cancel()
	conn, err := link.Dial(dialCtx, ls.client, ls.box.cfg.Machine.LinkAt(member.ID), nil)
	if err != nil {
		return
	}
	defer conn.Close()
	hello := &link.Hello{ID: ls.box.cfg.Machine.Address, Role: link.RoleBox, Site: ls.box.cfg.Machine.Site}
	if err := conn.Send(dialCtx, hello); err != nil {
		return
	}
	now := clock.Now()
	l := &outLink{links: ls, conn: conn, member: member, used: now, heard: now}
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

// begin tells all links that the pieces of a version can be asked for and given.
func (ls *links) begin(f *filling) {
	ls.mu.Lock()
	out := slices.Collect(maps.Values(ls.out))
	ls.mu.Unlock()
	in := ls.boxes()
	for _, l := range out {
		l.join(f)
	}
	for _, l := range in {
		l.begin(f)
	}
}

// boxes returns the links that other boxes opened.
func (ls *links) boxes() []*inLink {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	var in []*inLink
	for l := range ls.in {
		if !l.entry {
			in = append(in, l)
		}
	}
	return in
}

// ask asks a box for a piece that it holds.
func (ls *links) ask(f *filling, peer string, piece int) {
	ls.sendTo(peer, &link.Want{Manifest: f.key, Chunk: uint32(piece)})
}

// giveUp tells a box that a piece asked of it is no longer wanted; a link on which nothing comes any more is ended.
func (ls *links) giveUp(f *filling, peer string, piece int) {
	ls.mu.Lock()
	l := ls.out[peer]
	silent := l != nil && clock.Since(l.heard) > linkSilence
	ls.mu.Unlock()
	if silent {
		l.conn.Close()
		return
	}
	ls.drop(f, peer, piece)
}

// drop tells a box that a piece asked of it is no longer wanted.
func (ls *links) drop(f *filling, peer string, piece int) {
	ls.sendTo(peer, &link.Have{Manifest: f.key, Chunks: []uint32{uint32(piece)}})
}

// sendTo sends a message on the link that this box opened to another, if there is one.
func (ls *links) sendTo(peer string, msg link.Message) {
	ls.mu.Lock()
	l := ls.out[peer]
	ls.mu.Unlock()
	if l != nil {
		l.send(msg)
	}
}

// got tells the boxes of the own site of a new piece unless they are known to hold it, those of other sites too when they wait
// for this box to draw it, and the box that was asked for it in vain that it is no longer wanted.
func (ls *links) got(f *filling, piece int, asked string, complete, drawer bool) {
	in := ls.boxes()
	ls.drop(f, asked, piece)
	ls.box.mu.Lock()
	in = slices.DeleteFunc(in, func(l *inLink) bool {
		return !complete && (!drawer && l.site != ls.box.cfg.Machine.Site || f.feed.PeerHolds(l.id, piece))
	})
	ls.box.mu.Unlock()
	for _, l := range in {
		l.got(f, piece, complete)
	}
}
