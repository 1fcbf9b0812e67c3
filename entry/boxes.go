package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/membership"
	"github.com/coralstair/coralstair/operate"
	"github.com/coralstair/coralstair/relay"
	"github.com/coralstair/coralstair/route"
)

const (
	boxesEvery     = 250 * time.Millisecond
	heartbeatEvery = time.Second
	dialTimeout    = 3 * time.Second
	dialPause      = 500 * time.Millisecond
	// suspectAfter is the silence after which a box gets no new work.
	suspectAfter = 2500 * time.Millisecond
	// deadAfter is the silence after which the link is given up, and with it what is in progress there.
	deadAfter = 10 * time.Second
	// retireTime is how long a link to a daemon that has moved stays at least: requests may be about to be sent there.
	retireTime = time.Second
)

// boxes keeps a link to each live box of the fleet and what each last said of itself.
type boxes struct {
	entry *Entry

	mu      sync.Mutex
	links   map[string]*boxLink
	dialing map[membership.Member]bool
	after   map[string]time.Time
	// retired are links to daemons that the list names elsewhere now, and since when: they end with what is in progress there.
	retired map[*boxLink]time.Time
	dials   int64
}

// boxLink is the link to one box.
type boxLink struct {
	member      membership.Member
	conn        *link.Conn
	client      *relay.Client
	incarnation string

	// The rest is guarded by the boxes' mutex.
	beat    *link.Heartbeat
	beatAt  time.Time
	beatOwn int
	// newsAt is when the box last told what it offers, or that it has answered a request.
	newsAt   time.Time
	inFlight int
}

func newBoxes(e *Entry) *boxes {
	return &boxes{
		entry:   e,
		links:   make(map[string]*boxLink),
		dialing: make(map[membership.Member]bool),
		after:   make(map[string]time.Time),
		retired: make(map[*boxLink]time.Time),
	}
}

// Serve opens a link to each live box until ctx ends.
func (b *boxes) Serve(ctx context.Context) error {
	ticker := time.NewTicker(boxesEvery)
	defer ticker.Stop()
	for {
		for _, member := range b.entry.members.Boxes() {
			b.want(ctx, member)
		}
		b.giveUpSilent()
		changed := b.entry.members.Changed()
		select {
		case <-ctx.Done():
			b.closeAll()
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
		}
	}
}

// Report returns what each box last said of itself; boxes on the list that were never heard are in it.
func (b *boxes) Report() []operate.BoxReport {
	var reports []operate.BoxReport
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, member := range b.entry.members.Members() {
		if member.Role != membership.RoleBox {
			continue
		}
		report := operate.BoxReport{ID: member.ID, Site: member.Site, Service: member.Service, Heard: -1, Leaving: member.Leaving}
		if l := b.links[member.ID]; l != nil && l.beat != nil {
			report = l.report(report, time.Now())
		}
		reports = append(reports, report)
	}
	return reports
}

// anyOffers reports whether any box serves a service now; mu is held.
func (b *boxes) anyOffers(cfg fleet.Config, name string, now time.Time) bool {
	service, allowed := cfg.Services[name], cfg.Digests(name)
	for id, l := range b.links {
		if !cfg.Stopped[id] && l.offers(service, allowed, now) {
			return true
		}
	}
	return false
}

// broadcast sends a message to all boxes without waiting for any.
func (b *boxes) broadcast(msg link.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.links {
		go func() { _ = l.conn.Send(l.conn.Context(), msg) }()
	}
}

// candidates returns the boxes that serve the service in a version that the configuration knows, and have room. With
// a pin they serve just that version, and their engines can go on with a stream.
func (b *boxes) candidates(service fleet.Service, pin string, now time.Time) []route.Candidate {
	cfg := b.entry.follower.Config()
	allowed := cfg.Digests(service.Name)
	if pin != "" {
		allowed = map[string]bool{pin: allowed[pin]}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []route.Candidate
	for id, l := range b.links {
		if cfg.Stopped[id] || !l.offers(service, allowed, now) || pin != "" && !l.beat.Resumes {
			continue
		}
		c := route.Candidate{ID: id, InFlight: l.inFlight, Reported: l.beat.Load, ReportedOwn: l.beatOwn}
		slots := slotsOf(l.beat)
		if c.Load() < slots || c.InFlight < slots/max(1, l.beat.Entries) {
			found = append(found, c)
		}
	}
	return found
}

func (b *boxes) closeAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.all() {
		l.conn.Close()
	}
}

// all returns the links in use and those that only finish what is in progress; mu is held.
func (b *boxes) all() []*boxLink {
	return slices.AppendSeq(slices.Collect(maps.Values(b.links)), maps.Keys(b.retired))
}

// dial opens one link and runs it until it ends.
func (b *boxes) dial(ctx context.Context, member membership.Member) {
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.dialing, member)
		b.after[member.ID] = time.Now().Add(dialPause/2 + rand.N(dialPause))
	}()
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := link.Dial(dialCtx, b.entry.cfg.LinkClient, member.Address, nil)
	if err != nil {
		b.entry.log.WithError(err).WithField("box", member.ID).Debug("entry: box not reached")
		return
	}
	defer conn.Close()
	silence := time.AfterFunc(dialTimeout, conn.Close)
	if conn.Send(ctx, b.entry.hello()) != nil {
		return
	}
	msg, err := conn.Receive()
	silence.Stop()
	if err != nil {
		return
	}
	if hello, ok := msg.(*link.Hello); ok && hello.ID == member.ID {
		b.run(conn, member, hello)
	}
}

// giveUpSilent gives up what may be run elsewhere at boxes that are silent, as long as another serves, and the links to those
// that have been for long; links to daemons that have moved it ends once they have finished.
func (b *boxes) giveUpSilent() {
	cfg, now := b.entry.follower.Config(), time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.all() {
		silent := now.Sub(l.beatAt)
		if silent > suspectAfter && b.anyOffers(cfg, l.member.Service, now) {
			l.client.Abandon()
		}
		since, retired := b.retired[l]
		finished := retired && now.Sub(since) > retireTime && l.client.InFlight() == 0
		if silent > deadAfter || finished {
			l.conn.Close()
		}
	}
}

// link returns the link to a box.
func (b *boxes) link(id string) (*boxLink, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.links[id]
	return l, ok
}

// place chooses a box for a request, and reserves room there: one not tried, or else one that told news since.
func (b *boxes) place(service fleet.Service, pin string, tried map[string]time.Time) (id string, ok bool) {
	now := time.Now()
	all := b.candidates(service, pin, now)
	candidates := route.Without(all, slices.Collect(maps.Keys(tried)))
	if len(candidates) == 0 {
		candidates = route.Without(all, b.withoutNews(tried))
	}
	picked, ok := b.entry.cfg.Picker.Pick(b.entry.health.Filter(candidates, now))
	if !ok {
		return "", false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.links[picked.ID]
	if !ok {
		return "", false
	}
	l.inFlight++
	return picked.ID, true
}

// release gives the room at a box back.
func (b *boxes) release(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l, ok := b.links[id]; ok && l.inFlight > 0 {
		l.inFlight--
	}
}

// resumes reports whether a box, when last heard, had an engine that goes on with broken-off streams. A box whose link
// has just ended is taken to have had one: what counts is the box to go on at.
func (b *boxes) resumes(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.links[id]
	return !ok || l.beat == nil || l.beat.Resumes
}

// run uses a greeted link until it ends.
func (b *boxes) run(conn *link.Conn, member membership.Member, hello *link.Hello) {
	l := &boxLink{
		member: member, conn: conn, incarnation: hello.Incarnation,
		client: relay.NewClient(conn.Context(), conn), beatAt: time.Now(),
	}
	b.mu.Lock()
	b.links[member.ID] = l
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		if b.links[member.ID] == l {
			delete(b.links, member.ID)
		}
		delete(b.retired, l)
		b.mu.Unlock()
		l.client.Close(nil)
		b.entry.log.WithField("box", member.ID).Info("entry: link ended")
	}()
	b.entry.log.WithField("box", member.ID).Info("entry: link up")
	b.entry.hear(conn, hello.Revision)
	go b.beat(conn)
	for {
		msg, err := conn.Receive()
		if err != nil {
			return
		}
		switch m := msg.(type) {
		case *link.Heartbeat:
			b.take(l, m)
		case *link.Config:
			b.entry.follower.Offer(m.Config)
		case *link.End:
			b.noteEnd(l, m)
			l.client.Handle(msg)
		default:
			l.client.Handle(msg)
		}
	}
}

// beat tells the box the entry's revision each second.
func (b *boxes) beat(conn *link.Conn) {
	ticker := time.NewTicker(heartbeatEvery)
	defer ticker.Stop()
	for {
		if conn.Send(conn.Context(), &link.Heartbeat{Revision: b.entry.follower.Config().Revision}) != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-conn.Context().Done():
			return
		}
	}
}

// noteEnd takes the load that a box tells with an answer, which is newer than its last heartbeat.
func (b *boxes) noteEnd(l *boxLink, end *link.End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.beat == nil {
		return
	}
	beat := *l.beat
	beat.Load = end.Load
	l.beat = &beat
	l.beatOwn = max(0, l.inFlight-1)
	if end.Outcome == link.OutcomeRan {
		l.newsAt = time.Now()
	}
}

// take notes a box's heartbeat.
func (b *boxes) take(l *boxLink, beat *link.Heartbeat) {
	b.mu.Lock()
	l.beat = beat
	l.beatAt = time.Now()
	l.newsAt = l.beatAt
	l.beatOwn = l.inFlight
	b.mu.Unlock()
	b.entry.hear(l.conn, beat.Revision)
	b.entry.kick(l.member.Service)
}

// want opens a link to a box that the list names, unless there is one. One to a daemon at another address finishes what is in
// progress there; one at the same address has ended, since a later daemon could not have its port.
func (b *boxes) want(ctx context.Context, member membership.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.links[member.ID]
	switch {
	case l == nil:
	case l.member.Address != member.Address:
		b.retired[l] = time.Now()
		delete(b.links, member.ID)
		l = nil
	case newer(l, member):
		l.conn.Close()
	}
	if l != nil || b.dialing[member] || time.Now().Before(b.after[member.ID]) {
		return
	}
	b.dialing[member] = true
	go b.dial(ctx, member)
}

// withoutNews returns those of the tried boxes that told no news since.
func (b *boxes) withoutNews(tried map[string]time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for id, at := range tried {
		if l, ok := b.links[id]; ok && !l.newsAt.After(at) {
			ids = append(ids, id)
		}
	}
	return ids
}

// newer reports whether the list knows of another daemon of a box than the one linked.
func newer(l *boxLink, member membership.Member) bool {
	return member.Incarnation != "" && l.incarnation != "" && member.Incarnation != l.incarnation && member.Incarnation > l.incarnation
}

// offers reports whether the box serves the service in one of the allowed versions and was heard lately.
func (l *boxLink) offers(service fleet.Service, allowed map[string]bool, now time.Time) bool {
	if l.beat == nil || now.Sub(l.beatAt) > suspectAfter {
		return false
	}
	offered := l.beat.Service
	if l.beat.Leaving || l.beat.Stopped || !offered.Open || offered.Service != service.Name {
		return false
	}
	return service.Kind == fleet.KindPlain || allowed[offered.Digest]
}

func (l *boxLink) report(report operate.BoxReport, now time.Time) operate.BoxReport {
	report.State, report.Version = l.beat.Service.State, l.beat.Service.Version
	report.Revision, report.Load = l.beat.Revision, l.beat.Load
	report.Heard = now.Sub(l.beatAt)
	report.Leaving = report.Leaving || l.beat.Leaving
	report.Have, report.Chunks = l.beat.Progress.Have, l.beat.Progress.Chunks
	report.OriginBytes, report.PeerBytes = l.beat.Progress.OriginBytes, l.beat.Progress.PeerBytes
	report.GivenBytes, report.Rejected = l.beat.Progress.GivenBytes, l.beat.Progress.Rejected
	return report
}

func slotsOf(beat *link.Heartbeat) int {
	if beat.Slots > 0 {
		return beat.Slots
	}
	return DefaultBoxSlots
}
