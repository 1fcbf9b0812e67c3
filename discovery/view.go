package discovery

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/invariant"
	"github.com/coralstair/coralstair/store"
)

// Options are the settings of a view; a zero field takes its default.
type Options struct {
	Log log.Interface
	// Checks records violated invariants.
	Checks *invariant.Recorder
	// PollTimeout is how long a call on a feed waits for a change; see PollTimeoutWithin.
	PollTimeout time.Duration
	// MinRetryDelay is the initial backoff after a failed call.
	MinRetryDelay time.Duration
	// CoalesceDelay is the longest delay after a declared change, shorter for a small response; ServersCoalesceDelay is the delay
	// after a change of the list of servers. They let changes in quick succession share a call.
	CoalesceDelay        time.Duration
	ServersCoalesceDelay time.Duration
	// FullReadOnChange makes the view read all that is declared after a change, instead of every change since.
	FullReadOnChange bool
	// DrainTimeout is how long a leaving server may still get requests; 0 means no bound.
	DrainTimeout time.Duration
	// EvacuationBound is how long after an evacuation requests may still reach the site's servers.
	EvacuationBound time.Duration
	// VersionBound is how long after a new target requests may still start on an older version.
	VersionBound time.Duration
	// Timeline converts times of the store; nil if the source has none.
	Timeline *store.Timeline
	// Namings keeps when versions were named; nil if this daemon neither reads nor writes it.
	Namings NamingStore
}

// Defaults of Options.
const (
	DefaultPollTimeout          = 1500 * time.Millisecond
	DefaultMinRetryDelay        = 100 * time.Millisecond
	DefaultCoalesceDelay        = 500 * time.Millisecond
	DefaultServersCoalesceDelay = 400 * time.Millisecond

	// missingGrace is how long a server that is no longer listed counts as missing, not as gone; outageGrace is the same within
	// outageWindow after a failed call to the store, since entries of live servers may expire during an outage.
	missingGrace = 1500 * time.Millisecond
	outageGrace  = 2500 * time.Millisecond
	outageWindow = 3 * time.Second
	// drainMargin is subtracted from Options.DrainTimeout, since a server's entry may disappear without being marked as leaving.
	drainMargin = 500 * time.Millisecond
	// drainFraction divides Options.DrainTimeout; the quotient is how late changes of the list may be.
	drainFraction  = 5
	minPollTimeout = time.Second
)

// View is one daemon's copy of the shared state; it is safe for concurrent use.
type View struct {
	source Source
	opts   Options
	now    func() time.Time

	mu     sync.RWMutex
	config *contract.Config
	// configuredAt is when the first configuration was applied.
	configuredAt time.Time
	newestPeer   peerRevision
	targets      map[string]*history
	// namingsMissed is set once a full read shows a new version: others may have been named before it.
	namingsMissed bool
	evacuations   evacuations
	servers       map[string]contract.Server
	// idsByAddress keeps applying a list linear in its length.
	idsByAddress map[string][]string
	missing      map[string]absence
	// replacedBy maps a server to the one that has taken over its address; only the newer one is alive.
	replacedBy map[string]string
	// departed holds servers that left recently, relisted those of them that a restored store lists again.
	departed map[string]departed
	relisted map[string]relisted
	// epoch is the store's newest known epoch, if epochKnown.
	epoch      store.Epoch
	epochKnown bool
	// listEpoch is the epoch of the newest list.
	listEpoch   store.Epoch
	listKnown   bool
	changed     chan struct{}
	lastFailure time.Time
	// declaredConfirmed is when the last call on the declared feed succeeded.
	declaredConfirmed time.Time
	// declaredAt is the position as of which what is declared was last read.
	declaredAt Cursor
	// listConfirmed is when the last call on the feed of servers succeeded.
	listConfirmed time.Time
	// lostFeeds counts the feeds on which the store does not respond.
	lostFeeds int
}

// PollTimeoutWithin returns the longest poll timeout with which a stalled call is hedged within bound, or the default if there is
// no bound. Each call is billed, so longer waits are cheaper: with 1.5 s, where 3 s were allowed, 14 entries made 1,708 calls in 48 s, with
// 10 s 1,024.
func PollTimeoutWithin(bound time.Duration) time.Duration {
	if bound <= 0 {
		return DefaultPollTimeout
	}
	return max(bound-2*hedgeAfter, minPollTimeout)
}

// ServersCoalesceDelayWithin returns the delay after a change of the list of servers for a drain timeout. A longer delay saves
// calls while servers start or load and the list changes all the time.
func ServersCoalesceDelayWithin(drain time.Duration) time.Duration {
	return max(drain/drainFraction, DefaultServersCoalesceDelay)
}

// New returns an empty view of a source.
func New(source Source, opts Options) *View {
	if opts.Log == nil {
		opts.Log = log.Log
	}
	opts.PollTimeout = cmp.Or(opts.PollTimeout, DefaultPollTimeout)
	opts.MinRetryDelay = cmp.Or(opts.MinRetryDelay, DefaultMinRetryDelay)
	opts.CoalesceDelay = cmp.Or(opts.CoalesceDelay, DefaultCoalesceDelay)
	opts.ServersCoalesceDelay = cmp.Or(opts.ServersCoalesceDelay, DefaultServersCoalesceDelay)
	return &View{
		source: source, opts: opts, now: clock.Now,
		targets: make(map[string]*history),
		servers: make(map[string]contract.Server), idsByAddress: make(map[string][]string),
		missing: make(map[string]absence), replacedBy: make(map[string]string),
		departed: make(map[string]departed), relisted: make(map[string]relisted),
		changed: make(chan struct{}),
	}
}

// SetBounds changes the bounds on draining servers, older versions and evacuated sites.
func (v *View) SetBounds(drain, version, evacuation time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.opts.DrainTimeout, v.opts.VersionBound, v.opts.EvacuationBound = drain, version, evacuation
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.changed
}

// Config returns the newest configuration, or nil if none is known.
func (v *View) Config() *contract.Config {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.config
}

// Ready reports whether a configuration and a list of servers are known.
func (v *View) Ready() bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.config != nil && v.listKnown && len(v.servers) > 0
}

// StoreReachable reports whether the store responds on all feeds.
func (v *View) StoreReachable() bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.lostFeeds == 0
}

// MayBeStale reports whether a newer configuration may be in force: the store has not responded for too long, or peers know a
// newer one.
func (v *View) MayBeStale() bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	// A working feed responds sooner, also when one call is hedged.
	return v.behindPeers() || v.now().Sub(v.declaredConfirmed) > v.opts.PollTimeout+2*hedgeAfter
}

// confirmDeclared records a successful call on the declared feed, which returned a position.
func (v *View) confirmDeclared(at Cursor) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.declaredConfirmed, v.declaredAt = v.now(), at
}

// DeclaredAt returns the position as of which what is declared was last read.
func (v *View) DeclaredAt() Cursor {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.declaredAt
}

// ListAge returns how long ago the list of servers was last confirmed.
func (v *View) ListAge() time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.now().Sub(v.listConfirmed)
}

// confirmList records a successful call on the feed of servers.
func (v *View) confirmList() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listConfirmed = v.now()
}

// absence is since when a server is no longer listed, and until when it counts as missing rather than gone.
type absence struct{ since, until time.Time }

// ListedServer is a listed or recently missing server.
type ListedServer struct {
	contract.Server
	// MissingSince is since when the server is no longer listed; zero while it is.
	MissingSince time.Time
	// GoneAt is when the missing server counts as gone; zero while it is listed.
	GoneAt time.Time
}

// Servers returns the servers that are listed or recently went missing, without those replaced at their address.
func (v *View) Servers() []ListedServer {
	v.mu.RLock()
	defer v.mu.RUnlock()
	servers := make([]ListedServer, 0, len(v.servers))
	now := v.now()
	for id, server := range v.servers {
		gap, missing := v.missing[id]
		if missing && now.After(gap.until) || v.isReplaced(id) {
			continue
		}
		servers = append(servers, ListedServer{Server: server, MissingSince: gap.since, GoneAt: gap.until})
	}
	return servers
}

// Target returns the target version of a model and when it was named, the zero time if that is not known; without a target, the newest
// version that any server runs.
func (v *View) Target(model string) (contract.Version, time.Time) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if h := v.targets[model]; h != nil {
		n, _ := h.get(h.newest())
		return n.version, v.namedAt(n)
	}
	return v.newestLoaded(model), time.Time{}
}

// ObservedTarget is a target and a time at which it was not named yet.
type ObservedTarget struct {
	contract.Target
	// At is the zero time if nothing is known of it.
	At time.Time
	// NotBefore is the same by the store's clock, 0 if unknown; it is exact where At has been relayed.
	NotBefore store.Time
}

// Targets returns the latest targets of each model, sorted by model and version: older ones tell until when servers may run the versions
// before them.
func (v *View) Targets() []ObservedTarget {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var targets []ObservedTarget
	for model, h := range v.targets {
		for _, n := range h.versions {
			targets = append(targets, ObservedTarget{Target: contract.Target{Model: model, Version: n.version}, At: n.at, NotBefore: n.notBefore})
		}
	}
	slices.SortFunc(targets, func(a, b ObservedTarget) int {
		return cmp.Or(strings.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return targets
}

// NamedAt returns when a version of a model was named as the target, the zero time if that is not known.
func (v *View) NamedAt(model string, version contract.Version) time.Time {
	v.mu.RLock()
	defer v.mu.RUnlock()
	n, _ := v.targets[model].get(version)
	return v.namedAt(n)
}

// namedAt returns the time from which the bound of a version counts, the zero time if nothing is known; mu is held.
func (v *View) namedAt(n namedVersion) time.Time {
	if at, ok := v.opts.Timeline.Local(n.notBefore); ok {
		return at
	}
	return n.at
}

// newestLoaded returns the newest version of a model that a server runs; mu is held.
func (v *View) newestLoaded(model string) contract.Version {
	var newest contract.Version
	for _, server := range v.servers {
		newest = max(newest, server.Loaded[model])
	}
	return newest
}

// VersionDeadline returns until when requests may start on a version of a model; ok is false while no newer target is known. It has
// passed if it is not known when a newer version was named.
func (v *View) VersionDeadline(model string, runs contract.Version) (due time.Time, ok bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	h, at := v.targets[model], time.Time{}
	if h.mayHaveForgotten(runs) {
		return at, true
	}
	for i, n := range h.newer(runs) {
		if named := v.namedAt(n); i == 0 || named.Before(at) {
			at, ok = named, true
		}
	}
	return at.Add(v.opts.VersionBound), ok
}

// ObservePeerTarget applies a target that a peer reports, with the time since it was named.
func (v *View) ObservePeerTarget(target contract.Target, ago time.Duration) {
	v.ObserveTarget(ObservedTarget{Target: target, At: v.now().Add(-ago)})
}

// ObserveTarget applies a target that a peer reports.
func (v *View) ObserveTarget(target ObservedTarget) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.addTarget(target, false) {
		v.notify()
	}
}

// notify wakes the waiters on Changed; mu is held.
func (v *View) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}
