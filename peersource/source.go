package peersource

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/link"
)

const (
	// entryTimeout is how long a box waits for an entry's feed before it reads the store itself. The jitter keeps boxes that start
	// together from saturating the links to the store.
	entryTimeout       = 1200 * time.Millisecond
	entryTimeoutJitter = 800 * time.Millisecond
	// listReadInterval and declaredReadInterval are how often a box without a feed reads the store.
	listReadInterval = 1500 * time.Millisecond
	// perServerDelay is how much longer a box waits for an entry's feed for each server that it knows: the more boxes there are, the more of
	// the link to the store's region they would take together, and the longer an entry needs for its own reads.
	perServerDelay = 5 * time.Millisecond
	// maxFeedWait bounds that wait.
	maxFeedWait = 10 * time.Second
	// declaredReadDelayAtStart is how long after the list a box first reads what is declared: by then it knows whether the fleet is large.
	declaredReadDelayAtStart = 400 * time.Millisecond
	declaredReadInterval     = 5 * time.Second
	// firstReadLimit is how many servers a daemon reads at startup. A longer list is read in full by one entry of each site and relayed
	// to the others, since reads by all daemons at once would delay configuration changes on the region's link.
	firstReadLimit = 200
	// entryFullReadDelay and boxFullReadDelay are how long an entry or a box with a partial list waits for a peer to send the full list,
	// before a jitter of up to as long again. An entry needs the full list sooner, to know which servers leave.
	entryFullReadDelay = 1200 * time.Millisecond
	boxFullReadDelay   = 4 * time.Second
)

// partialReader is a store that can read a part of the list.
type partialReader interface {
	// SomeServers reads up to limit servers; the result is partial if more are listed.
	SomeServers(ctx context.Context, limit int) (discovery.Servers, error)
}

// noCursor marks data from an entry's feed, which has no position in the store's history.
var noCursor = discovery.Cursor{Position: -1}

// Source is a discovery source that uses an entry's feed, or the store while there is no feed.
type Source struct {
	store discovery.Source
	// entryTimeout is how long after the loss of the feed the store is first read.
	entryTimeout         time.Duration
	perServerDelay       time.Duration
	listReadInterval     time.Duration
	declaredReadInterval time.Duration
	// fullReadDelay is how long after a partial read the full list is read.
	fullReadDelay time.Duration

	mu sync.Mutex
	// listDelay is the least time from the loss of the feed to a read of the list, once a full list is known: another entry may read it
	// for this one by then.
	listDelay time.Duration
	changed   chan struct{}
	// inactiveSince is when the feed was lost; zero while an entry feeds this source. unfed lasts while none does.
	inactiveSince  time.Time
	unfed          phase
	declared       *contract.Config
	servers        map[string]contract.Server
	listReadAt     time.Time
	declaredReadAt time.Time
	// serversKnown says that a list was read or received, partial that it is not the full list.
	serversKnown bool
	partial      bool
	// fullReadRequested says that no peer will send the full list.
	fullReadRequested bool
	// deliveredDeclared and delivered are the state that the view has.
	deliveredDeclared *contract.Config
	delivered         map[string]contract.Server
}

// New returns a box's source, which reads the store at intervals when there has been no feed for a time.
func New(store discovery.Source) *Source {
	return &Source{
		store: store, entryTimeout: entryTimeout + rand.N(entryTimeoutJitter), perServerDelay: perServerDelay, listReadInterval: listReadInterval, declaredReadInterval: declaredReadInterval,
		changed: make(chan struct{}), inactiveSince: clock.Now(), unfed: newPhase(), fullReadDelay: boxFullReadDelay + rand.N(boxFullReadDelay),
	}
}

// NewEntrySource returns an entry's source, which follows the store at once and continuously while no other entry feeds it. While other
// entries depend on it, calls wait for maxWait at most, so that a stalled connection is noticed.
func NewEntrySource(store discovery.Source, maxWait time.Duration) *EntrySource {
	return &EntrySource{
		Source: &Source{
			store: store, changed: make(chan struct{}), inactiveSince: clock.Now(), unfed: newPhase(), fullReadDelay: entryFullReadDelay + rand.N(entryFullReadDelay),
		},
		maxWait: maxWait, alone: newPhase(), unrelayed: newPhase(),
	}
}

// EntrySource is the source of an entry's view.
type EntrySource struct {
	*Source
	maxWait time.Duration

	// The source's mutex guards the fields below. alone lasts while no other entry depends on this one, unrelayed while none relays what is
	// declared.
	alone     phase
	unrelayed phase
	relayed   relayedDeclared
	reads     bool
}

// SetShared sets whether other entries depend on this one for the list of servers. If not, calls may wait longer, which saves
// billed calls. A call for the list that is waiting when others begin to depend on this entry is replaced by one that returns at once.
func (s *EntrySource) SetShared(shared bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case shared == s.alone.ended():
	case shared:
		s.alone.end()
	default:
		s.alone = newPhase()
	}
}

// currentAlone returns the phase in which no other entry depends on this one; it has ended if some do.
func (s *EntrySource) currentAlone() phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alone
}

// AwaitingFullList reports whether the full list has not been read or received yet.
func (s *EntrySource) AwaitingFullList() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.serversKnown || s.partial
}

// RequestFullRead makes the source read the full list now instead of waiting for a peer to send it.
func (s *EntrySource) RequestFullRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fullReadRequested {
		s.fullReadRequested = true
		s.notify()
	}
}

// StoreAnswers reports whether the store answers a short call. A store that can't be asked so counts as one that does not.
func (s *EntrySource) StoreAnswers(ctx context.Context) bool {
	store, ok := s.store.(interface {
		Probe(ctx context.Context) error
	})
	return ok && store.Probe(ctx) == nil
}

// SetListDelay sets the least time from the loss of a feed to a read of the list; it holds once a full list is known. 0, the initial
// value, adds no wait.
func (s *EntrySource) SetListDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listDelay != delay {
		s.listDelay = delay
		s.notify()
	}
}

// ServersAfter waits for a change of the list of servers.
func (s *EntrySource) ServersAfter(ctx context.Context, cursor discovery.Cursor, wait time.Duration) (discovery.Servers, error) {
	alone := s.currentAlone()
	if alone.ended() {
		return s.Source.ServersAfter(ctx, cursor, min(wait, s.maxWait))
	}
	pollCtx, cancel := alone.bind(ctx)
	defer cancel()
	servers, err := s.Source.ServersAfter(pollCtx, cursor, wait)
	if err != nil && ctx.Err() == nil && alone.ended() {
		return s.Source.ServersAfter(ctx, cursor, 0)
	}
	return servers, err
}

var (
	_ discovery.Source = (*Source)(nil)
	_ discovery.Source = (*EntrySource)(nil)
)

// Declared returns the declared state from the feed, or from the store if there is no feed in time.
func (s *Source) Declared(ctx context.Context) (discovery.Declared, error) {
	return s.DeclaredAfter(ctx, noCursor, discovery.DefaultPollTimeout)
}

// DeclaredAfter waits for a change of the declared state.
func (s *Source) DeclaredAfter(ctx context.Context, cursor discovery.Cursor, wait time.Duration) (discovery.Declared, error) {
	declared := discovery.Declared{Cursor: noCursor}
	err := s.awaitChange(ctx, wait, &s.declaredReadAt, s.nextDeclaredRead, func() bool {
		if s.declared == nil || s.declared == s.deliveredDeclared {
			return false
		}
		declared.Config, s.deliveredDeclared = s.declared, s.declared
		return true
	}, func(ctx context.Context) (err error) {
		if cursor == noCursor {
			declared, err = s.store.Declared(ctx)
		} else {
			declared, err = s.store.DeclaredAfter(ctx, cursor, wait)
		}
		return err
	})
	return declared, err
}

// Servers returns the listed servers.
func (s *Source) Servers(ctx context.Context) (discovery.Servers, error) {
	s.mu.Lock()
	s.delivered = nil
	s.mu.Unlock()
	return s.ServersAfter(ctx, noCursor, discovery.DefaultPollTimeout)
}

// ServersAfter waits for a change of the list of servers.
func (s *Source) ServersAfter(ctx context.Context, cursor discovery.Cursor, wait time.Duration) (discovery.Servers, error) {
	servers := discovery.Servers{Cursor: noCursor}
	err := s.awaitChange(ctx, wait, &s.listReadAt, s.nextListRead, func() bool {
		if s.servers == nil {
			return false
		}
		changes := diffServers(s.delivered, s.servers)
		if s.delivered != nil && len(changes.Present)+len(changes.Removed) == 0 {
			return false
		}
		servers, s.delivered = changes, maps.Clone(s.servers)
		return true
	}, func(ctx context.Context) (err error) {
		if servers, err = s.readServers(ctx, cursor, wait); err == nil {
			s.recordDelivered(servers)
		}
		return err
	})
	return servers, err
}

// feedDeadline returns when the store is read if no entry feeds this source until then; mu is held.
func (s *Source) feedDeadline() time.Time {
	return s.inactiveSince.Add(min(s.entryTimeout+time.Duration(len(s.delivered))*s.perServerDelay, maxFeedWait))
}

// nextListRead returns when the list may next be read from the store; mu is held.
func (s *Source) nextListRead() time.Time {
	interval := s.listReadInterval
	if s.partial && !s.fullReadRequested {
		interval = s.fullReadDelay
	}
	next := latest(s.feedDeadline(), s.listReadAt.Add(interval))
	if s.serversKnown && !s.partial {
		next = latest(next, s.inactiveSince.Add(s.listDelay))
	}
	return next
}

// nextDeclaredRead returns when what is declared may next be read from the store; mu is held.
func (s *Source) nextDeclaredRead() time.Time {
	first := s.feedDeadline()
	switch {
	case !s.serversKnown:
		first = first.Add(declaredReadDelayAtStart)
	case s.partial:
		first = latest(first, s.inactiveSince.Add(s.fullReadDelay))
	}
	return latest(first, s.declaredReadAt.Add(s.declaredReadInterval))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordDelivered records servers read from the store that are returned to the view.
func (s *Source) recordDelivered(servers discovery.Servers) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delivered == nil {
		s.delivered = make(map[string]contract.Server)
	}
	for _, server := range servers.Present {
		s.delivered[server.ID] = server
	}
	for _, id := range slices.Concat(servers.Removed, servers.Unreadable) {
		delete(s.delivered, id)
	}
}

// readServers reads changes from the store, or after a feed the full list, with the servers that are gone compared to the feed.
func (s *Source) readServers(ctx context.Context, cursor discovery.Cursor, wait time.Duration) (discovery.Servers, error) {
	if cursor != noCursor {
		return s.store.ServersAfter(ctx, cursor, wait)
	}
	servers, err := s.readList(ctx)
	if err != nil || servers.Partial {
		return servers, err
	}
	present := make(map[string]bool, len(servers.Present))
	for _, server := range servers.Present {
		present[server.ID] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.delivered {
		if !present[id] {
			servers.Removed = append(servers.Removed, id)
		}
	}
	return servers, nil
}

// readList reads the list from the store, only a part of it the first time.
func (s *Source) readList(ctx context.Context) (servers discovery.Servers, err error) {
	s.mu.Lock()
	full := s.serversKnown || s.fullReadRequested
	s.mu.Unlock()
	partial, ok := s.store.(partialReader)
	if full || !ok {
		servers, err = s.store.Servers(ctx)
	} else {
		servers, err = partial.SomeServers(ctx, firstReadLimit)
	}
	if err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.serversKnown, s.partial = true, servers.Partial
	}
	return servers, err
}

// diffServers returns the changes from an old list to a new one.
func diffServers(old, list map[string]contract.Server) discovery.Servers {
	present, gone := contract.DiffServers(old, list)
	return discovery.Servers{Present: present, Removed: gone, Cursor: noCursor}
}

// awaitChange returns as soon as deliver finds a change in the feed, or after wait without one. While there is no feed it reads the
// store when nextRead says; such a read is cancelled when a feed starts. deliver and nextRead are called with mu held.
func (s *Source) awaitChange(
	ctx context.Context, wait time.Duration, lastRead *time.Time, nextRead func() time.Time, deliver func() bool, read func(context.Context) error,
) error {
	deadline := clock.Now().Add(wait)
	for {
		s.mu.Lock()
		if deliver() {
			s.mu.Unlock()
			return nil
		}
		changed, until, inactive := s.changed, deadline, !s.inactiveSince.IsZero()
		if inactive {
			until = nextRead()
		}
		s.mu.Unlock()
		if inactive && !clock.Now().Before(until) {
			// A successful read is already recorded as delivered, so it must be returned even if a feed has started.
			if cancelled, err := s.readStore(ctx, lastRead, read); err == nil || ctx.Err() != nil || !cancelled {
				return err
			}
			continue
		}
		if err := waitFor(ctx, changed, until); err != nil {
			return err
		}
		if s.PeerActive() && !clock.Now().Before(deadline) {
			return nil
		}
	}
}

// waitFor waits for a change or until a time; it fails when ctx ends.
func waitFor(ctx context.Context, changed <-chan struct{}, until time.Time) error {
	timer := time.NewTimer(clock.Until(until))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-timer.C:
	}
	return nil
}

// readStore reads the store and records when the read ended. The read is cancelled when a feed starts, which cancelled reports.
func (s *Source) readStore(ctx context.Context, lastRead *time.Time, read func(context.Context) error) (cancelled bool, err error) {
	s.mu.Lock()
	unfed := s.unfed
	s.mu.Unlock()
	ctx, cancel := unfed.bind(ctx)
	defer cancel()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		*lastRead = clock.Now()
	}()
	if unfed.ended() {
		return true, ctx.Err()
	}
	err = read(ctx)
	return unfed.ended(), err
}

// PeerActive reports whether an entry feeds this source.
func (s *Source) PeerActive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inactiveSince.IsZero()
}

// PeerLost records that no entry feeds this source any more.
func (s *Source) PeerLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inactiveSince.IsZero() {
		s.inactiveSince, s.unfed = clock.Now(), newPhase()
	}
	s.declared, s.servers = nil, nil
	s.notify()
}

// ApplyDeclared applies the services that an entry sent.
func (s *Source) ApplyDeclared(msg *link.Declared) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.declared = contract.NewConfig(msg.Revision, contract.Limits{}, nil, msg.Services, nil)
	s.notify()
}

// ApplyServers applies servers that an entry sent. The feed starts with a full list; changes before that are ignored.
func (s *Source) ApplyServers(msg *link.Servers) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case msg.Reset:
		s.servers = make(map[string]contract.Server, len(msg.Present))
		s.inactiveSince = time.Time{}
		s.unfed.end()
		s.serversKnown, s.partial = true, false
	case s.servers == nil:
		return
	}
	for _, server := range msg.Present {
		s.servers[server.ID] = server
	}
	for _, id := range msg.Gone {
		delete(s.servers, id)
	}
	s.notify()
}

// notify wakes the waiting calls; mu is held.
func (s *Source) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
