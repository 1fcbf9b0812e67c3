package view

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/contract"
)

// Options are the settings of a view; a zero field takes its default.
type Options struct {
	Log log.Interface
	// Wait is how long a call on a feed waits for a change.
	Wait time.Duration
	// Retry is the least pause after a call that failed.
	Retry time.Duration
	// Settle is the pause after a change of what is declared, ServersSettle that after a change of the list of servers:
	// changes in quick succession share a call.
	Settle        time.Duration
	ServersSettle time.Duration
	// VersionBound is how soon after a version is named nothing begins on an older one.
	VersionBound time.Duration
}

// Defaults of Options.
const (
	DefaultWait          = 10 * time.Second
	DefaultRetry         = 100 * time.Millisecond
	DefaultSettle        = 30 * time.Millisecond
	DefaultServersSettle = 250 * time.Millisecond

	maxRetry = time.Second
	// lapseGrace is how long a server that is no longer listed counts as missing, not as gone: lists lapse while the
	// store is away.
	lapseGrace = 1500 * time.Millisecond
)

// View is what one daemon believes; it is safe for concurrent use.
type View struct {
	source Source
	opts   Options
	now    func() time.Time

	mu      sync.RWMutex
	config  *contract.Config
	targets map[string]*history
	servers map[string]contract.Server
	missing map[string]time.Time
	listed  bool
	changed chan struct{}
	away    time.Time
}

// New returns a view that knows nothing yet.
func New(source Source, opts Options) *View {
	if opts.Log == nil {
		opts.Log = log.Log
	}
	opts.Wait = or(opts.Wait, DefaultWait)
	opts.Retry = or(opts.Retry, DefaultRetry)
	opts.Settle = or(opts.Settle, DefaultSettle)
	opts.ServersSettle = or(opts.ServersSettle, DefaultServersSettle)
	return &View{
		source: source, opts: opts, now: time.Now,
		targets: make(map[string]*history),
		servers: make(map[string]contract.Server),
		missing: make(map[string]time.Time),
		changed: make(chan struct{}),
	}
}

func or(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}

// Changed returns a channel that is closed at the next change of any belief.
func (v *View) Changed() <-chan struct{} {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.changed
}

// Config returns the newest configuration, nil while none is known.
func (v *View) Config() *contract.Config {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.config
}

// Ready reports whether a configuration and a list of servers are known.
func (v *View) Ready() bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.config != nil && v.listed && len(v.servers) > 0
}

// Listed is a server on the list; Missing says since when its entry is gone.
type Listed struct {
	contract.Server
	Missing time.Time
}

// Servers returns the servers that are listed, and those that went missing a short time ago.
func (v *View) Servers() []Listed {
	v.mu.RLock()
	defer v.mu.RUnlock()
	servers := make([]Listed, 0, len(v.servers))
	now := v.now()
	for id, server := range v.servers {
		since, missing := v.missing[id]
		if missing && now.Sub(since) > lapseGrace {
			continue
		}
		servers = append(servers, Listed{Server: server, Missing: since})
	}
	return servers
}

// Target returns the version of a model that should run and since when that is known; 0 while none is.
func (v *View) Target(model string) (contract.Version, time.Time) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if h := v.targets[model]; h != nil {
		return h.newest()
	}
	return v.running(model), time.Time{}
}

// running returns the newest version of a model that a listed server runs, which stands in while none has been named.
func (v *View) running(model string) contract.Version {
	var newest contract.Version
	for _, server := range v.servers {
		newest = max(newest, server.Loaded[model])
	}
	return newest
}

// Due returns until when a server that runs a version of a model may begin requests on it; ok is false when it may go on.
func (v *View) Due(model string, runs contract.Version) (due time.Time, ok bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	at, ok := v.targets[model].after(runs)
	return at.Add(v.opts.VersionBound), ok
}

// OfferTarget takes a target that another daemon told, named so long ago.
func (v *View) OfferTarget(target contract.Target, ago time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.name(target, v.now().Add(-ago)) {
		v.wake()
	}
}

// ServeDeclared follows what operators declare until ctx ends.
func (v *View) ServeDeclared(ctx context.Context) error {
	cursor, known := Cursor(0), false
	return v.follow(ctx, "declared", v.opts.Settle, func(ctx context.Context) (bool, error) {
		var declared Declared
		var err error
		if known {
			declared, err = v.source.DeclaredAfter(ctx, cursor, v.opts.Wait)
		} else {
			declared, err = v.source.Declared(ctx)
		}
		if err != nil {
			known = known && !gone(err)
			return false, err
		}
		changed := v.takeDeclared(declared, !known)
		cursor, known = declared.Cursor, true
		return changed, nil
	})
}

// ServeServers follows the list of servers until ctx ends.
func (v *View) ServeServers(ctx context.Context) error {
	cursor, known := Cursor(0), false
	return v.follow(ctx, "servers", v.opts.ServersSettle, func(ctx context.Context) (bool, error) {
		var servers Servers
		var err error
		if known {
			servers, err = v.source.ServersAfter(ctx, cursor, v.opts.Wait)
		} else {
			servers, err = v.source.Servers(ctx)
		}
		if err != nil {
			known = known && !gone(err)
			return false, err
		}
		v.takeServers(servers, !known)
		cursor, known = servers.Cursor, true
		return len(servers.Present)+len(servers.Gone) > 0, nil
	})
}

func gone(err error) bool {
	var history *HistoryGoneError
	return errors.As(err, &history)
}

// follow makes one call after another; after a failure it pauses, longer each time.
func (v *View) follow(ctx context.Context, what string, settle time.Duration, call func(context.Context) (bool, error)) error {
	pause, lost := v.opts.Retry, false
	for {
		changed, err := call(ctx)
		wait := time.Duration(0)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			if !lost {
				v.opts.Log.WithField("feed", what).WithField("cause", err.Error()).Warn("view: the store is lost")
			}
			lost = true
			v.setAway()
			wait = pause/2 + rand.N(pause)
			pause = min(2*pause, maxRetry)
		default:
			if lost {
				v.opts.Log.WithField("feed", what).Info("view: the store is back")
			}
			pause, lost = v.opts.Retry, false
			if changed {
				wait = settle
			}
		}
		if wait == 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
}

func (v *View) setAway() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.away = v.now()
}

// takeDeclared takes what is newer; whole says that it is no change but all there is.
func (v *View) takeDeclared(declared Declared, whole bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, fault := range declared.Faults {
		configFaults.Inc()
		v.opts.Log.WithField("cause", fault.Error()).Error("view: what was declared cannot be read; the last known stays")
	}
	changed := v.takeConfig(declared.Config)
	for _, target := range declared.Targets {
		at := v.now()
		if whole && v.config != nil && v.targets[target.Model] == nil {
			// It is not known when the version was named; the middle of the bound leaves the least error.
			at = at.Add(-v.opts.VersionBound / 2)
		}
		changed = v.name(target, at) || changed
	}
	if changed {
		v.wake()
	}
	return changed
}

func (v *View) takeConfig(cfg *contract.Config) bool {
	if cfg == nil || v.config != nil && cfg.Revision <= v.config.Revision {
		return false
	}
	v.config = cfg
	configRevision.Set(float64(cfg.Revision))
	v.opts.Log.WithFields(log.Fields{"revision": int64(cfg.Revision), "routes": cfg.Routes()}).Info("view: configuration taken")
	return true
}

// name notes that a version was named; mu is held.
func (v *View) name(target contract.Target, at time.Time) bool {
	h := v.targets[target.Model]
	if h == nil {
		h = &history{}
		v.targets[target.Model] = h
	}
	if !h.add(target.Version, at) {
		return false
	}
	v.opts.Log.WithFields(log.Fields{"model": target.Model, "version": int64(target.Version)}).Info("view: version named")
	return true
}

func (v *View) takeServers(servers Servers, whole bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	for _, fault := range servers.Faults {
		v.opts.Log.WithField("cause", fault.Error()).Error("view: a server's entry cannot be read; the last known stays")
	}
	present := make(map[string]bool, len(servers.Present))
	for _, server := range servers.Present {
		present[server.ID] = true
		delete(v.missing, server.ID)
		v.noteServer(server)
		v.servers[server.ID] = server
	}
	for _, id := range servers.Gone {
		v.miss(id, now)
	}
	if whole {
		for id := range maps.Clone(v.servers) {
			if !present[id] {
				v.miss(id, now)
			}
		}
	}
	for id, since := range v.missing {
		if now.Sub(since) > lapseGrace {
			delete(v.missing, id)
			delete(v.servers, id)
		}
	}
	v.listed = true
	v.wake()
}

func (v *View) noteServer(server contract.Server) {
	old, known := v.servers[server.ID]
	if known && old.Leaving == server.Leaving && old.Address == server.Address {
		return
	}
	v.opts.Log.WithFields(log.Fields{
		"server": server.ID, "address": server.Address, "service": server.Service, "leaving": server.Leaving,
	}).Info("view: server listed")
}

func (v *View) miss(id string, now time.Time) {
	if _, known := v.servers[id]; !known {
		return
	}
	if _, already := v.missing[id]; already {
		return
	}
	v.missing[id] = now
	v.opts.Log.WithField("server", id).WithField("store_away_ms", now.Sub(v.away).Milliseconds()).Info("view: server no longer listed")
}

func (v *View) wake() {
	close(v.changed)
	v.changed = make(chan struct{})
}
