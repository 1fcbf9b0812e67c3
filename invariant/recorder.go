package invariant

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

// Name identifies an invariant, in metrics and logs.
type Name string

// Invariants of the system; the values are label values of metrics.
const (
	OneVersion        Name = "answer_of_one_version"
	NotRunDidNotRun   Name = "not_run_did_not_run"
	AtMostOnce        Name = "at_most_one_run"
	RevisionGrows     Name = "revision_never_falls"
	FenceGrows        Name = "fence_never_falls"
	VerifiedBeforeUse Name = "weights_verified_before_load"
	CursorOfItsEpoch  Name = "cursor_of_its_epoch"
	StaysHome         Name = "request_stays_in_its_homes"
)

// Violation is a violation of an invariant.
type Violation struct {
	Name   Name
	Detail string
}

// Error returns a message with the invariant and the violation's details.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant %s broken: %s", v.Name, v.Detail)
}

// Recorder counts, logs and collects violations. A nil Recorder only counts and logs.
type Recorder struct {
	// OnViolation, if set, is called for each violation; tests and the lab use it to fail.
	OnViolation func(*Violation)

	mu         sync.Mutex
	violations []*Violation
}

// Violations returns the violations so far.
func (r *Recorder) Violations() []*Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*Violation(nil), r.violations...)
}

// Check counts a check of an invariant and returns ok; format and args describe the violation.
func (r *Recorder) Check(ok bool, name Name, format string, args ...any) bool {
	metrics.GetOrCreateCounter(fmt.Sprintf(`coralstair_invariant_checks_total{name=%q}`, name)).Inc()
	if ok {
		return true
	}
	violation := &Violation{Name: name, Detail: fmt.Sprintf(format, args...)}
	metrics.GetOrCreateCounter(fmt.Sprintf(`coralstair_invariant_broken_total{name=%q}`, name)).Inc()
	log.WithField("invariant", string(name)).Error("invariant: " + violation.Detail)
	if r == nil {
		return false
	}
	r.mu.Lock()
	r.violations = append(r.violations, violation)
	r.mu.Unlock()
	if r.OnViolation != nil {
		r.OnViolation(violation)
	}
	return false
}
