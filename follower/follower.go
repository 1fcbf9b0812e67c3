package follower

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/invariant"
)

// Ledger is the part of the ledger that a follower uses.
type Ledger interface {
	Head(ctx context.Context, fleetName string) (fleet.Revision, error)
	Load(ctx context.Context, fleetName string) (fleet.Config, error)
}

// Options are the settings of a follower; a zero field takes its default.
type Options struct {
	// AlwaysPoll makes the follower poll the table even while peers report, so that others can learn from it.
	AlwaysPoll bool
	// Interval is how often the head is read.
	Interval time.Duration
	// PeerTimeout is how long after the last report of a peer a follower polls the table.
	PeerTimeout time.Duration
	Checks      *invariant.Recorder
}

// Defaults of Options.
const (
	DefaultInterval    = 500 * time.Millisecond
	DefaultPeerTimeout = 3 * time.Second
)

// Follower holds the newest known configuration; it never applies a lower revision.
type Follower struct {
	ledger Ledger
	opts   Options

	mu             sync.Mutex
	cfg            fleet.Config
	lastPeerReport time.Time
	changed        chan struct{}
}

// New returns a follower of a fleet with no configuration yet.
func New(ledger Ledger, fleetName string, opts Options) *Follower {
	if opts.Interval == 0 {
		opts.Interval = DefaultInterval
	}
	if opts.PeerTimeout == 0 {
		opts.PeerTimeout = DefaultPeerTimeout
	}
	return &Follower{
		ledger: ledger, opts: opts,
		cfg:     fleet.Config{Fleet: fleetName},
		changed: make(chan struct{}),
	}
}

// Changed returns a channel that is closed at the next newer configuration.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Config returns the newest configuration; its revision is 0 if none is known.
func (f *Follower) Config() fleet.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg
}

// ObservePeerRevision records that a peer reported its revision, and reports whether it is newer or older than the local one.
func (f *Follower) ObservePeerRevision(revision fleet.Revision) (newer, older bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastPeerReport = time.Now()
	return revision > f.cfg.Revision, revision < f.cfg.Revision
}

// Update applies a configuration if it is newer and reports whether it was.
func (f *Follower) Update(cfg fleet.Config) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cfg.Fleet != f.cfg.Fleet || cfg.Revision <= f.cfg.Revision {
		return false
	}
	f.opts.Checks.Check(cfg.Revision > f.cfg.Revision, invariant.RevisionGrows,
		"revision %d would follow %d", cfg.Revision, f.cfg.Revision)
	f.cfg = cfg
	close(f.changed)
	f.changed = make(chan struct{})
	return true
}

// Serve polls the table as needed until ctx ends.
func (f *Follower) Serve(ctx context.Context) error {
	for {
		if f.opts.AlwaysPoll || f.peersSilent() {
			f.poll(ctx)
		}
		wait := f.opts.Interval/2 + rand.N(f.opts.Interval)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
}

func (f *Follower) poll(ctx context.Context) {
	name := f.Config().Fleet
	head, err := f.ledger.Head(ctx, name)
	if err != nil {
		log.WithError(err).Debug("follower: head not read")
		return
	}
	if head <= f.Config().Revision {
		return
	}
	cfg, err := f.ledger.Load(ctx, name)
	if err != nil {
		log.WithError(err).Warn("follower: configuration not read")
		return
	}
	if f.Update(cfg) {
		log.WithField("revision", cfg.Revision).Debug("follower: configuration taken from the table")
	}
}

func (f *Follower) peersSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lastPeerReport) > f.opts.PeerTimeout
}
