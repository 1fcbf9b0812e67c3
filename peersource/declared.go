package peersource

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/link"
)

// In a large fleet one entry of each site reads what operators declare and relays the changes to the others: a configuration that all of
// them read would take the link to the store's region for seconds.

// declaredReadDelay is how long an entry that lost its reader waits for another one before it reads the store, before a jitter of up to
// as long again.
const declaredReadDelay = time.Second

// relayedDeclared is what another entry relays of what operators declared; the zero value is of no entry.
type relayedDeclared struct {
	active    bool
	config    *contract.Config
	evacuated []string
	asOf      discovery.Cursor
	// changes counts what was relayed, delivered what the view has of it.
	changes, delivered int
	// readFrom is when the store may be read after the reader was lost.
	readFrom time.Time
}

// ApplyDeclaredChange applies a change that the reader relays; own is the configuration that the entry has. It reports whether the change
// fits what the entry has; otherwise the reader must be followed anew.
func (s *EntrySource) ApplyDeclaredChange(msg *link.DeclaredChange, own *contract.Config) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &s.relayed
	base := own
	if r.active {
		base = r.config
	}
	if msg.Config != nil {
		next, ok := base.WithChange(*msg.Config)
		if !ok {
			return false
		}
		base = next
	}
	s.unrelayed.end()
	r.active, r.config, r.asOf, r.evacuated = true, base, msg.AsOf, msg.Evacuations.Sites
	r.changes++
	s.notify()
	return true
}

// SetReads sets whether this entry reads the store for its site; one that does not waits for a reader before it reads for itself.
func (s *EntrySource) SetReads(reads bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reads != reads {
		s.reads = reads
		s.notify()
	}
}

// PeerLost records that no entry feeds this source any more.
func (s *EntrySource) PeerLost() {
	s.mu.Lock()
	if s.relayed.active {
		s.relayed.active, s.unrelayed = false, newPhase()
		s.relayed.readFrom = clock.Now().Add(declaredReadDelay + rand.N(declaredReadDelay))
	}
	s.mu.Unlock()
	s.Source.PeerLost()
}

// Declared returns all that is declared, as the reader relays it or from the store.
func (s *EntrySource) Declared(ctx context.Context) (discovery.Declared, error) {
	return s.declaredFrom(ctx, clock.Now(), func(r *relayedDeclared) (discovery.Declared, bool, error) {
		r.delivered = r.changes
		declared := discovery.Declared{Config: r.config, Cursor: r.asOf, Evacuated: make(map[string]bool)}
		for _, site := range r.evacuated {
			declared.Evacuated[site] = true
		}
		return declared, true, nil
	}, s.store.Declared)
}

// DeclaredAfter waits for a change of the declared configuration or targets, as the reader relays it or at the store.
func (s *EntrySource) DeclaredAfter(ctx context.Context, cursor discovery.Cursor, wait time.Duration) (discovery.Declared, error) {
	deadline := clock.Now().Add(wait)
	return s.declaredFrom(ctx, deadline, func(r *relayedDeclared) (discovery.Declared, bool, error) {
		switch {
		case r.asOf.Epoch != cursor.Epoch:
			return discovery.Declared{}, true, &discovery.HistoryGoneError{}
		case r.changes == r.delivered:
			return discovery.Declared{Cursor: cursor}, false, nil
		}
		r.delivered = r.changes
		return discovery.Declared{Config: r.config, Cursor: discovery.Cursor{Epoch: cursor.Epoch, Position: max(cursor.Position, r.asOf.Position)}}, true, nil
	}, func(ctx context.Context) (discovery.Declared, error) {
		if s.currentAlone().ended() {
			wait = min(wait, s.maxWait)
		}
		return s.store.DeclaredAfter(ctx, cursor, wait)
	})
}

// declaredFrom returns what relayed finds in what the reader relays, at the deadline also when that is no news, or what read finds in
// the store while no entry relays it. relayed is called with mu held.
func (s *EntrySource) declaredFrom(
	ctx context.Context, deadline time.Time, relayed func(r *relayedDeclared) (discovery.Declared, bool, error),
	read func(ctx context.Context) (discovery.Declared, error),
) (discovery.Declared, error) {
	for {
		s.mu.Lock()
		changed, active, until := s.changed, s.relayed.active, s.relayed.readFrom
		if active {
			declared, news, err := relayed(&s.relayed)
			if news || !clock.Now().Before(deadline) {
				s.mu.Unlock()
				return declared, err
			}
			until = deadline
		}
		mayRead, unrelayed := !active && (s.reads || !clock.Now().Before(until)), s.unrelayed
		s.mu.Unlock()
		if mayRead {
			readCtx, cancel := unrelayed.bind(ctx)
			declared, err := read(readCtx)
			cancel()
			if err == nil || ctx.Err() != nil || !unrelayed.ended() {
				return declared, err
			}
			continue
		}
		if err := waitFor(ctx, changed, until); err != nil {
			return discovery.Declared{}, err
		}
	}
}
