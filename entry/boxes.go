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
	reconcileInterval = 250 * time.Millisecond
	heartbeatInterval = time.Second
	dialTimeout       = 3 * time.Second
	redialDelay       = 500 * time.Millisecond
	// suspectAfter is the time without a heartbeat after which a box gets no new requests.
	suspectAfter = 2500 * time.Millisecond
	// deadAfter is the time without a heartbeat after which the link is closed, and with it the requests in progress.
	deadAfter = 10 * time.Second
	// minRetireTime is how long the link to a replaced daemon stays open at least, since requests may be about to be sent on it.
	minRetireTime = time.Second
)

// boxes keeps a link to each live box of the fleet, with the box's latest heartbeat.
type boxes struct {
	entry *Entry

	mu       sync.Mutex
	links    map[string]*boxLink
	dialing  map[membership.Member]bool
	redialAt map[string]time.Time
	// retired holds links to replaced daemons and when they were replaced; they close when their requests are finished.
	retired map[*boxLink]time.Time
	dials   int64
}

type boxLink struct {
	member      membership.Member
	conn        *link.Conn
	client      *relay.Client
	incarnation string

	// The fields below are guarded by boxes.mu.
	heartbeat      *link.Heartbeat
	heartbeatAt    time.Time
	ownAtHeartbeat int
	// updatedAt is when the box last sent a heartbeat or completed a request.
	updatedAt time.Time
	inFlight  int
}

func newBoxes(e *Entry) *boxes {
	return &boxes{
		entry:    e,
		links:    make(map[string]*boxLink),
		dialing:  make(map[membership.Member]bool),
		redialAt: make(map[string]time.Time),
		retired:  make(map[*boxLink]time.Time),
	}
}

// Serve keeps a link to each live box until ctx ends.
func (b *boxes) Serve(ctx context.Context) error {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		for _, member := range b.entry.members.Boxes() {
			b.ensureLink(ctx, member)
		}
		b.abandonSilent()
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

// Report returns the state of each listed box by its latest heartbeat, also of boxes that have not sent one.
func (b *boxes) Report() []operate.BoxReport {
	var reports []operate.BoxReport
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, member := range b.entry.members.Members() {
		if member.Role != membership.RoleBox {
			continue
		}
		report := operate.BoxReport{ID: member.ID, Site: member.Site, Service: member.Service, ReportAge: -1, Leaving: member.Leaving}
		if l := b.links[member.ID]; l != nil && l.heartbeat != nil {
			report = l.report(report, time.Now())
		}
		reports = append(reports, report)
	}
	return reports
}

// anyAccepts reports whether any box accepts requests for a service; mu is held.
func (b *boxes) anyAccepts(cfg fleet.Config, name string, now time.Time) bool {
	service, allowed := cfg.Services[name], cfg.Digests(name)
	for _, l := range b.links {
		if mayGet(cfg, l.member) && l.accepts(service, allowed, now) {
			return true
		}
	}
	return false
}

// mayGet reports whether operators let a box get new requests: it is not stopped, and its site is not evacuated.
func mayGet(cfg fleet.Config, member membership.Member) bool {
	return !cfg.Stopped[member.ID] && !cfg.Evacuated[member.Site]
}

// broadcast sends a message to all boxes without blocking.
func (b *boxes) broadcast(msg link.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.links {
		go func() { _ = l.conn.Send(l.conn.Context(), msg) }()
	}
}

// candidates returns the boxes with free slots that serve the service in a version of the configuration. With a pinned digest they
// serve that version and can resume its streams.
func (b *boxes) candidates(service fleet.Service, pin string, now time.Time) []route.Candidate {
	cfg := b.entry.follower.Config()
	allowed := cfg.Digests(service.Name)
	if pin != "" {
		allowed = map[string]bool{pin: allowed[pin]}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var candidates []route.Candidate
	for id, l := range b.links {
		if !mayGet(cfg, l.member) || !l.accepts(service, allowed, now) || pin != "" && !l.heartbeat.Resumes {
			continue
		}
		c := route.Candidate{ID: id, InFlight: l.inFlight, Reported: l.heartbeat.Load, ReportedOwn: l.ownAtHeartbeat}
		slots := slotsOf(l.heartbeat)
		if c.Load() < slots || c.InFlight < slots/max(1, l.heartbeat.Entries) {
			candidates = append(candidates, c)
		}
	}
	return candidates
}

func (b *boxes) closeAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.allLinks() {
		l.conn.Close()
	}
}

// allLinks returns the links in use and the retired ones; mu is held.
func (b *boxes) allLinks() []*boxLink {
	return slices.AppendSeq(slices.Collect(maps.Values(b.links)), maps.Keys(b.retired))
}

// dial opens one link and serves it until it ends.
func (b *boxes) dial(ctx context.Context, member membership.Member) {
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.dialing, member)
		b.redialAt[member.ID] = time.Now().Add(redialDelay/2 + rand.N(redialDelay))
	}()
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := link.Dial(dialCtx, b.entry.cfg.LinkClient, member.Address, nil)
	if err != nil {
		b.entry.log.WithError(err).WithField("box", member.ID).Debug("entry: box not reached")
		return
	}
	defer conn.Close()
	helloTimer := time.AfterFunc(dialTimeout, conn.Close)
	if conn.Send(ctx, b.entry.hello()) != nil {
		return
	}
	msg, err := conn.Receive()
	helloTimer.Stop()
	if err != nil {
		return
	}
	if hello, ok := msg.(*link.Hello); ok && hello.ID == member.ID {
		b.serveLink(conn, member, hello)
	}
}

// abandonSilent abandons repeatable requests at boxes without heartbeats if another box serves them. It closes the links to dead boxes
// and the retired links that have finished.
func (b *boxes) abandonSilent() {
	cfg, now := b.entry.follower.Config(), time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.allLinks() {
		silence := now.Sub(l.heartbeatAt)
		if silence > suspectAfter && b.anyAccepts(cfg, l.member.Service, now) {
			l.client.Abandon()
		}
		since, retired := b.retired[l]
		finished := retired && now.Sub(since) > minRetireTime && l.client.InFlight() == 0
		if silence > deadAfter || finished {
			l.conn.Close()
		}
	}
}

func (b *boxes) link(id string) (*boxLink, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.links[id]
	return l, ok
}

// reserveBox picks a box for a request and reserves a slot there: a box not tried yet, or one updated since it was tried.
func (b *boxes) reserveBox(service fleet.Service, pin string, tried map[string]time.Time) (id string, ok bool) {
	now := time.Now()
	all := b.candidates(service, pin, now)
	candidates := route.Exclude(all, slices.Collect(maps.Keys(tried)))
	if len(candidates) == 0 {
		candidates = route.Exclude(all, b.notUpdatedSince(tried))
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

// release frees a slot at a box.
func (b *boxes) release(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l, ok := b.links[id]; ok && l.inFlight > 0 {
		l.inFlight--
	}
}

// resumes reports whether a box's engine can resume interrupted streams. A box without a link counts as able, since the box on which
// the stream resumes is checked too.
func (b *boxes) resumes(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.links[id]
	return !ok || l.heartbeat == nil || l.heartbeat.Resumes
}

// serveLink serves a link after the handshake until it ends.
func (b *boxes) serveLink(conn *link.Conn, member membership.Member, hello *link.Hello) {
	l := &boxLink{
		member: member, conn: conn, incarnation: hello.Incarnation,
		client: relay.NewClient(conn.Context(), conn), heartbeatAt: time.Now(),
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
	b.entry.syncRevision(conn, hello.Revision)
	go b.sendHeartbeats(conn)
	for {
		msg, err := conn.Receive()
		if err != nil {
			return
		}
		switch m := msg.(type) {
		case *link.Heartbeat:
			b.handleHeartbeat(l, m)
		case *link.Config:
			b.entry.follower.Update(m.Config)
		case *link.End:
			b.handleEnd(l, m)
			l.client.Handle(msg)
		default:
			l.client.Handle(msg)
		}
	}
}

// sendHeartbeats sends the entry's revision to the box at each interval.
func (b *boxes) sendHeartbeats(conn *link.Conn) {
	ticker := time.NewTicker(heartbeatInterval)
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

// handleEnd applies the load that a box sends with the end of a response, which is newer than its last heartbeat.
func (b *boxes) handleEnd(l *boxLink, end *link.End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.heartbeat == nil {
		return
	}
	beat := *l.heartbeat
	beat.Load = end.Load
	l.heartbeat = &beat
	l.ownAtHeartbeat = max(0, l.inFlight-1)
	if end.Outcome == link.OutcomeRan {
		l.updatedAt = time.Now()
	}
}

func (b *boxes) handleHeartbeat(l *boxLink, beat *link.Heartbeat) {
	b.mu.Lock()
	l.heartbeat = beat
	l.heartbeatAt = time.Now()
	l.updatedAt = l.heartbeatAt
	l.ownAtHeartbeat = l.inFlight
	b.mu.Unlock()
	b.entry.syncRevision(l.conn, beat.Revision)
	b.entry.dispatch(l.member.Service)
}

// ensureLink opens a link to a listed box unless there is one. A link to a daemon at another address is retired; an older daemon at the
// same address must have exited, since the new one has its port.
func (b *boxes) ensureLink(ctx context.Context, member membership.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.links[member.ID]
	switch {
	case l == nil:
	case l.member.Address != member.Address:
		b.retired[l] = time.Now()
		delete(b.links, member.ID)
		l = nil
	case isNewerDaemon(l, member):
		l.conn.Close()
	}
	if l != nil || b.dialing[member] || time.Now().Before(b.redialAt[member.ID]) {
		return
	}
	b.dialing[member] = true
	go b.dial(ctx, member)
}

// notUpdatedSince returns the boxes that have sent no update since they were tried.
func (b *boxes) notUpdatedSince(tried map[string]time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for id, at := range tried {
		if l, ok := b.links[id]; ok && !l.updatedAt.After(at) {
			ids = append(ids, id)
		}
	}
	return ids
}

// isNewerDaemon reports whether the list has a newer incarnation of the box's daemon than the linked one.
func isNewerDaemon(l *boxLink, member membership.Member) bool {
	return member.Incarnation != "" && l.incarnation != "" && member.Incarnation != l.incarnation && member.Incarnation > l.incarnation
}

// accepts reports whether the box serves the service in an allowed version and sent a heartbeat recently.
func (l *boxLink) accepts(service fleet.Service, allowed map[string]bool, now time.Time) bool {
	if l.heartbeat == nil || now.Sub(l.heartbeatAt) > suspectAfter {
		return false
	}
	state := l.heartbeat.Service
	if l.heartbeat.Leaving || l.heartbeat.Stopped || !state.Open || state.Service != service.Name {
		return false
	}
	return service.Kind == fleet.KindPlain || allowed[state.Digest]
}

func (l *boxLink) report(report operate.BoxReport, now time.Time) operate.BoxReport {
	report.State, report.Version = l.heartbeat.Service.State, l.heartbeat.Service.Version
	report.Revision, report.Load = l.heartbeat.Revision, l.heartbeat.Load
	report.ReportAge = now.Sub(l.heartbeatAt)
	report.Leaving = report.Leaving || l.heartbeat.Leaving
	report.Have, report.Chunks = l.heartbeat.Progress.Have, l.heartbeat.Progress.Chunks
	report.OriginBytes, report.PeerBytes = l.heartbeat.Progress.OriginBytes, l.heartbeat.Progress.PeerBytes
	report.GivenBytes, report.Rejected = l.heartbeat.Progress.GivenBytes, l.heartbeat.Progress.Rejected
	return report
}

func slotsOf(beat *link.Heartbeat) int {
	if beat.Slots > 0 {
		return beat.Slots
	}
	return DefaultBoxSlots
}
