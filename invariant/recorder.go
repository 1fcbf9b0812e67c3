package invariant

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

// Name names one invariant.
type Name string

// The invariants of the system.
const (
	OneVersion        Name = "answer_of_one_version"
	NotRunDidNotRun   Name = "not_run_did_not_run"
	AtMostOnce        Name = "at_most_one_run"
	RevisionGrows     Name = "revision_never_falls"
	FenceGrows        Name = "fence_never_falls"
	VerifiedBeforeUse Name = "weights_verified_before_load"
	CursorOfItsEpoch  Name = "cursor_of_its_epoch"
)

// Broken is the fact of one broken invariant.
type Broken struct {
	Name Name
	Fact string
}

// Error names the invariant and the fact.
func (b *Broken) Error() string {
	return fmt.Sprintf("invariant %s broken: %s", b.Name, b.Fact)
}

// Recorder takes checks; a zero or nil Recorder counts and logs only.
type Recorder struct {
	// OnBroken, when set, is called for each broken invariant; tests and the lab fail in it.
	OnBroken func(*Broken)

	mu     sync.Mutex
	broken []*Broken
}

// Broken returns the invariants broken so far.
func (r *Recorder) Broken() []*Broken {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*Broken(nil), r.broken...)
}

// Check records whether an invariant holds and returns ok; format and args tell the fact.
func (r *Recorder) Check(ok bool, name Name, format string, args ...any) bool {
	metrics.GetOrCreateCounter(fmt.Sprintf(`coralstair_invariant_checks_total{name=%q}`, name)).Inc()
	if ok {
		return true
	}
	broken := &Broken{Name: name, Fact: fmt.Sprintf(format, args...)}
	metrics.GetOrCreateCounter(fmt.Sprintf(`coralstair_invariant_broken_total{name=%q}`, name)).Inc()
	log.WithField("invariant", string(name)).Error("invariant: " + broken.Fact)
	if r == nil {
		return false
	}
	r.mu.Lock()
	r.broken = append(r.broken, broken)
	r.mu.Unlock()
	if r.OnBroken != nil {
		r.OnBroken(broken)
	}
	return false
}
