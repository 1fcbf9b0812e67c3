package forward

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/connlimit"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/peersource"
	"github.com/coralstair/coralstair/quarantine"
	"github.com/coralstair/coralstair/supervise"
)

// In a large fleet one entry of each site, the reader, polls the store for the server list and for what operators declare, and relays the
// changes to the others: that bounds the calls to the store, and what a configuration takes of the link to its region.

const (
	// minEntriesForReader is the number of entries from which a site has a reader.
	// Below it the calls cost less than 0.02 of what is earned.
	minEntriesForReader = 24
	// Entries relay the list at least every listHeartbeat; a follower that receives nothing for listTimeout reads it itself.
	listHeartbeat = 400 * time.Millisecond
	listTimeout   = 1200 * time.Millisecond
	// followGrace is how long an entry that does not read the list keeps a new follower waiting: it may be about to become the reader, as the
	// one before it has failed for both of them.
	followGrace = 800 * time.Millisecond
	// readerBackoff is how long a failed reader is not followed.
	readerBackoff = 3 * time.Second
	// A reader polls for one listWaitDivisor-th of the drain timeout, so that followers detect a hung poll and read the list
	// themselves well before a leaving server must receive no more requests.
	listWaitDivisor = 4
	minListWait     = 500 * time.Millisecond
	maxListWait     = 1500 * time.Millisecond
	// listCallSlack is how much longer than its poll timeout a call usually takes at most, hedged once; one listSlackDivisor-th of the drain
	// timeout if that is longer.
	listCallSlack    = 600 * time.Millisecond
	listSlackDivisor = 5
	// readerCheckInterval is how often the reader is determined, startupCheckInterval the same until the full list is known.
	readerCheckInterval  = time.Second
	startupCheckInterval = 200 * time.Millisecond
	// startupSettleTime is how long after its start an entry knows the others that started with it.
	startupSettleTime = 800 * time.Millisecond
)

// ListWait returns the poll timeout of an entry's calls for the server list, given how long a leaving server may receive requests.
func ListWait(drain time.Duration) time.Duration {
	return min(max(drain/listWaitDivisor, minListWait), maxListWait)
}

// maxListAge returns how old the list of an entry may be that the store answers: after a change there is no call for the coalesce delay, then
// one that takes its poll timeout and the slack.
func maxListAge(drain time.Duration) time.Duration {
	return discovery.ServersCoalesceDelayWithin(drain) + ListWait(drain) + max(listCallSlack, drain/listSlackDivisor)
}

// listReader receives the server list from the site's reader, or reads it from the store while this entry is the reader.
type listReader struct {
	entry    *Entry
	server   *http.Server
	listener *connlimit.Listener
	// silentChecks counts how often in a row no other entry had a recent list, storeAnswersSince is since when the store answers this entry
	// meanwhile; only serve's goroutine uses them.
	silentChecks      int
	storeAnswersSince time.Time

	mu sync.Mutex
	// hosts holds the entries of the site known to each box, by box address; failedUntil holds the failed readers and when they may be
	// followed again, silent those of them that have no recent list, but responded.
	hosts       map[string][]string
	failedUntil map[string]time.Time
	silent      map[string]bool
	// followed is the host of the entry that sends this one the list, empty while none does.
	followed string
}

func newListReader(e *Entry) *listReader {
	lr := &listReader{entry: e, hosts: make(map[string][]string), failedUntil: make(map[string]time.Time), silent: make(map[string]bool)}
	lr.server = &http.Server{Handler: http.HandlerFunc(lr.accept), ErrorLog: e.errorLog("entry: the links' server says")}
	lr.listener = e.limit("links", e.cfg.Links, lr.server, linksPercent)
	return lr
}

// setHosts sets the entries of the site that a box knows; none once its link has ended.
func (lr *listReader) setHosts(box string, hosts []string) {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	if len(hosts) == 0 {
		delete(lr.hosts, box)
		return
	}
	lr.hosts[box] = hosts
}

// currentReader returns the host of the site's reader, empty if this entry reads the list itself.
func (lr *listReader) currentReader(now time.Time) string {
	self := lr.entry.cfg.Machine.Address
	if lr.entry.budget.Entries() < minEntriesForReader || lr.entry.leaving.Load() {
		return ""
	}
	lr.mu.Lock()
	defer lr.mu.Unlock()
	first := self
	for _, hosts := range lr.hosts {
		for _, host := range hosts {
			if ranksBefore(host, first) && !now.Before(lr.failedUntil[host]) {
				first = host
			}
		}
	}
	if first == self {
		return ""
	}
	return first
}

// peerHosts returns the hosts of the other entries of the site that are known to boxes.
func (lr *listReader) peerHosts() []string {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	var all []string
	for _, hosts := range lr.hosts {
		for _, host := range hosts {
			if host != lr.entry.cfg.Machine.Address && !slices.Contains(all, host) {
				all = append(all, host)
			}
		}
	}
	return all
}

// ranksBefore orders the entries of a site; the first one is the reader.
func ranksBefore(a, b string) bool {
	scoreA, scoreB := xxhash.Sum64String(a), xxhash.Sum64String(b)
	return scoreA < scoreB || scoreA == scoreB && a < b
}

// serve follows the site's reader until ctx ends, and reads the list itself while there is none.
func (lr *listReader) serve(ctx context.Context) error {
	for ctx.Err() == nil {
		lr.updateShared()
		host := lr.currentReader(clock.Now())
		delay := lr.updateListDelay()
		lr.entry.cfg.PeerSource.SetReads(host == "")
		if host == "" {
			lr.readFullList()
			lr.waitForCheck(ctx, delay > 0)
			continue
		}
		lr.entry.log.WithField("reader", host).Info("entry: the list of servers is heard from another entry")
		failed := lr.follow(ctx, host)
		lr.setFollowed("")
		if failed {
			lr.mu.Lock()
			lr.failedUntil[host] = clock.Now().Add(readerBackoff)
			lr.mu.Unlock()
		}
		lr.updateListDelay()
		lr.entry.cfg.PeerSource.PeerLost()
		lr.entry.log.WithFields(log.Fields{"reader": host, "failed": failed}).Info("entry: the list of servers is read from the store")
	}
	return ctx.Err()
}

// updateShared sets whether other entries depend on this one: those that follow it, or in a large fleet may do so.
func (lr *listReader) updateShared() {
	lr.entry.cfg.PeerSource.SetShared(lr.entry.budget.Entries() >= minEntriesForReader || lr.entry.boxLinks.hasListFollowers())
}

// waitForCheck waits until the reader is determined again; silent is set if the entries before this one have no recent list.
func (lr *listReader) waitForCheck(ctx context.Context, silent bool) {
	interval := lr.checkInterval()
	if silent {
		interval = lr.silenceInterval()
		lr.probeStore(ctx)
		defer lr.forgetSilence()
	}
	select {
	case <-ctx.Done():
	case <-time.After(interval):
	}
}

// readFullList has the full list read if no other entry reads it for the site. Before startupSettleTime, boxes may not know all entries
// that start together, and each entry would take itself for the reader.
func (lr *listReader) readFullList() {
	if lr.entry.budget.Entries() >= minEntriesForReader && clock.Since(lr.entry.startedAt) >= startupSettleTime {
		lr.entry.cfg.PeerSource.RequestFullRead()
	}
}

// checkInterval returns the time until the reader is determined again.
func (lr *listReader) checkInterval() time.Duration {
	if lr.entry.cfg.PeerSource.AwaitingFullList() {
		return startupCheckInterval
	}
	return readerCheckInterval
}

// follow receives the list from a reader until another entry becomes the reader, or this one fails, times out or does not read the
// store itself.
func (lr *listReader) follow(ctx context.Context, host string) (failed bool) {
	lr.setSilent(host, false)
	dialCtx, cancel := context.WithTimeout(ctx, linkDialTimeout)
	defer cancel()
	conn, err := link.Dial(dialCtx, lr.entry.boxLinks.client, lr.entry.cfg.Machine.LinkAddress(host), nil)
	if err != nil {
		return true
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	hello := &link.Hello{ID: lr.entry.cfg.Machine.ID, Role: link.RoleEntry, Site: lr.entry.cfg.Machine.Site}
	if conn.SendWithin(sendTimeout, hello) != nil || conn.SendWithin(sendTimeout, &link.Follow{List: true, Revision: lr.revision()}) != nil {
		return true
	}
	timeout := time.AfterFunc(listTimeout, conn.Close)
	defer timeout.Stop()
	for {
		msg, err := conn.Receive()
		if err != nil {
			return true
		}
		timeout.Reset(listTimeout)
		switch msg := msg.(type) {
		case *link.Servers:
			lr.recordRecentList(host)
			lr.setFollowed(host)
			lr.entry.cfg.PeerSource.ApplyServers(msg)
		case *link.QuarantineRecords:
			lr.entry.cfg.Quarantine.Merge(msg.Records)
		case *link.DeclaredChange:
			if !lr.applyDeclaredChange(msg) {
				return true
			}
		case *link.Declared:
			lr.setSilent(host, true)
			lr.allowReader(msg.Reader)
			return true
		}
		if !lr.keepsFollowing(host) {
			return false
		}
	}
}

// keepsFollowing reports whether this entry goes on following a host that sends it the list. It does so when it could follow one that ranks
// before: the host follows that one itself as soon as it has the list, and names it then. So a site never leaves a reader that has the list for
// one that may lack it.
func (lr *listReader) keepsFollowing(host string) bool {
	reader := lr.currentReader(clock.Now())
	return reader == host || reader != "" && ranksBefore(reader, host)
}

// allowReader lets an entry be followed again that has the list, as another one reports.
func (lr *listReader) allowReader(host string) {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	delete(lr.failedUntil, host)
}

func (lr *listReader) setFollowed(host string) {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	lr.followed = host
}

// followedReader returns the host of the entry that sends this one the list, empty while none does.
func (lr *listReader) followedReader() string {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	return lr.followed
}

// serveLinks serves links of other entries until ctx ends.
func (lr *listReader) serveLinks(ctx context.Context) error {
	return supervise.ServeHTTP(ctx, lr.server, lr.listener)
}

// revision returns the revision of the configuration that the entry has, 0 for none.
func (lr *listReader) revision() contract.Revision {
	if cfg := lr.entry.cfg.View.Config(); cfg != nil {
		return cfg.Revision
	}
	return 0
}

// accept serves one link of another entry.
func (lr *listReader) accept(w http.ResponseWriter, r *http.Request) {
	conn, err := link.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer conn.Close()
	bl := lr.entry.boxLinks
	defer bl.removeListFollower(conn)
	for {
		msg, err := conn.Receive()
		if err != nil {
			return
		}
		switch msg := msg.(type) {
		case *link.Follow:
			if msg.List {
				bl.addListFollower(conn, msg.Revision)
			}
		case *link.RefusedRequests:
			lr.entry.peers.apply(msg)
		case *link.TeamUses:
			lr.entry.hearTeams(msg)
		}
	}
}

// addListFollower makes an entry that has the configuration of a revision a follower.
func (bl *boxLinks) addListFollower(conn *link.Conn, revision contract.Revision) {
	bl.mu.Lock()
	bl.listFollowers[conn] = &listFollower{since: clock.Now(), declared: declaredFollower{revision: revision}}
	bl.mu.Unlock()
	bl.entry.reader.updateShared()
	bl.wake()
	// The next heartbeat may be too late: the follower gives up after listTimeout.
	time.AfterFunc(followGrace, bl.wake)
}

func (bl *boxLinks) hasListFollowers() bool {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	return len(bl.listFollowers) > 0
}

func (bl *boxLinks) removeListFollower(conn *link.Conn) {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	delete(bl.listFollowers, conn)
}

// publishList sends changes of the server list and heartbeats to the entries that follow this one. It sends only a recent list read
// from the store itself: entries that relayed each other's lists would all keep an outdated one.
func (bl *boxLinks) publishList() {
	v, source := bl.entry.cfg.View, bl.entry.cfg.PeerSource
	if source != nil && source.AwaitingFullList() {
		// The full list is not known yet: followers would take a partial list for the full one, and would stop following this entry if
		// notified that the store is lost.
		return
	}
	reads := v.Ready() && v.StoreReachable() && (source == nil || !source.PeerActive()) && v.ListAge() < maxListAge(bl.entry.cfg.Machine.Bounds.Drain)
	reader := bl.entry.reader.followedReader()
	bl.mu.Lock()
	defer bl.mu.Unlock()
	if reads && len(bl.listFollowers) > 0 {
		bl.declared.update(v)
		bl.list.update(v.Servers())
	}
	rejected := 0
	for conn, f := range bl.listFollowers {
		if !reads {
			if clock.Since(f.since) < followGrace {
				continue
			}
			trySend(conn, &link.Declared{StoreLost: true, Reader: reader})
			delete(bl.listFollowers, conn)
			rejected++
		} else if !bl.publishListTo(conn, f, clock.Now()) {
			delete(bl.listFollowers, conn)
			conn.Close()
		}
	}
	if rejected > 0 {
		bl.entry.log.WithFields(log.Fields{
			"followers": rejected, "reader": reader, "list_age_ms": v.ListAge().Milliseconds(), "store_reachable": v.StoreReachable(),
		}).Info("entry: followers are rejected")
	}
}

// publishListTo sends an entry the updates it lacks, and reports whether the link had room; mu is held.
func (bl *boxLinks) publishListTo(conn *link.Conn, f *listFollower, now time.Time) bool {
	if records := f.quarantineUpdate(bl.entry.cfg.Quarantine); records != nil && !trySend(conn, records) {
		return false
	}
	if change := bl.declared.next(&f.declared, now); change != nil && conn.SendEncodedWithin(sendTimeout, change) != nil {
		return false
	}
	update := bl.list.next(f, now)
	return update == nil || conn.SendEncodedWithin(sendTimeout, update) == nil
}

// quarantineUpdate returns the quarantine records not yet sent to the entry; nil if there are none.
func (f *listFollower) quarantineUpdate(q *quarantine.Quarantine) link.Message {
	msg := &link.QuarantineRecords{Reset: f.sentRecords == nil}
	if msg.Reset {
		f.sentRecords = make(map[string]int)
	}
	msg.Records = q.Changes(f.sentRecords)
	if !msg.Reset && msg.Records.Len() == 0 {
		return nil
	}
	return msg
}

// listedByID returns the servers that are listed now, by ID.
func listedByID(servers []discovery.ListedServer) map[string]contract.Server {
	listed := make(map[string]contract.Server, len(servers))
	for _, server := range servers {
		if server.MissingSince.IsZero() {
			listed[server.ID] = server.Server
		}
	}
	return listed
}

var _ discovery.Source = (*peersource.EntrySource)(nil)
