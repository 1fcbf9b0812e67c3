package discovery

import (
	"context"
	"slices"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/store"
)

// When a version was named is observed by the daemons that run then. One of them records it in the store, so that it is known after all
// of them have restarted.

const (
	// namingRetryDelay is the pause after a failed call.
	namingRetryDelay = 500 * time.Millisecond
	// namingSettleTime is how long after a record the store is read: other daemons that know a later time have recorded it by then.
	namingSettleTime = 400 * time.Millisecond
)

// namingReadDelays are the pauses before the store is read for a version of which no daemon knows when it was named: its record may
// be on the way. If none comes, the time stays unknown.
var namingReadDelays = []time.Duration{0, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second}

// Naming is a target and a time of the store's clock at which it was not named yet, 0 if none is known.
type Naming struct {
	contract.Target
	NotBefore store.Time
}

// NamingStore keeps when versions were named.
type NamingStore interface {
	// Namings returns all that is recorded.
	Namings(ctx context.Context) ([]Naming, error)
	// RecordNamings records when versions of a model were named, of each the latest time, and returns what is recorded then.
	RecordNamings(ctx context.Context, model string, namings []Naming) ([]Naming, error)
}

// ServeNamings records when versions were named and reads it for those of which it is not known, until ctx ends.
func (v *View) ServeNamings(ctx context.Context) error {
	var reads namingReads
	for ctx.Err() == nil {
		changed, wait := v.Changed(), time.Hour
		recorded, err := v.recordNamings(ctx)
		if err != nil {
			v.opts.Log.WithField("cause", err.Error()).Warn("view: the time of a naming cannot be recorded")
			wait = namingRetryDelay
		}
		missed, unknown := v.takeMissedNamings()
		now := v.now()
		reads.plan(now, recorded, missed, unknown)
		if reads.isDue(now) {
			if err := v.readNamings(ctx); err != nil {
				v.opts.Log.WithField("cause", err.Error()).Warn("view: the times of namings cannot be read")
				reads.repeat(now)
			}
			continue
		}
		if !reads.at.IsZero() {
			wait = min(wait, reads.at.Sub(now))
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(wait):
		}
	}
	return ctx.Err()
}

// namingReads decides when the recorded namings are read. The zero value has read none.
type namingReads struct {
	// at is when they are read next, the zero time if not at all; tries counts reads since some time is unknown.
	at    time.Time
	tries int
}

// plan plans a read after this daemon recorded a naming, may have missed one, or while it does not know the time of one.
func (r *namingReads) plan(now time.Time, recorded, missed, unknown bool) {
	switch {
	case missed:
		r.at, r.tries = now, 0
	case recorded:
		r.at = now.Add(namingSettleTime)
	case !unknown:
		r.tries = 0
	case r.at.IsZero() && r.tries < len(namingReadDelays):
		r.repeat(now)
	}
}

// repeat plans another read.
func (r *namingReads) repeat(now time.Time) {
	r.at = now.Add(namingReadDelays[min(r.tries, len(namingReadDelays)-1)])
	r.tries++
}

// isDue reports whether the namings are to be read now, and if so ends the plan.
func (r *namingReads) isDue(now time.Time) bool {
	if r.at.IsZero() || now.Before(r.at) {
		return false
	}
	r.at = time.Time{}
	return true
}

// takeMissedNamings reports whether versions may have been named that this daemon has not read, and whether it is unknown when one of
// those it knows was named.
func (v *View) takeMissedNamings() (missed, unknown bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	missed, v.namingsMissed = v.namingsMissed, false
	for _, h := range v.targets {
		for _, n := range h.versions {
			unknown = unknown || n.at.IsZero()
		}
	}
	return missed, unknown
}

// readNamings applies what the store has recorded.
func (v *View) readNamings(ctx context.Context) error {
	namings, err := v.opts.Namings.Namings(ctx)
	if err != nil {
		return err
	}
	namingReadCount.Inc()
	for _, naming := range namings {
		v.applyNaming(naming)
	}
	return nil
}

// applyNaming applies a recorded naming, unless it is of a version that was not declared.
func (v *View) applyNaming(naming Naming) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.targets[naming.Model].newest() < naming.Version {
		return
	}
	at, _ := v.opts.Timeline.Local(naming.NotBefore)
	if v.addTarget(ObservedTarget{Target: naming.Target, At: at, NotBefore: naming.NotBefore}, false) {
		v.notify()
	}
}

// recordNamings records what this daemon observed, and reports whether there was anything.
func (v *View) recordNamings(ctx context.Context) (recorded bool, err error) {
	for model, namings := range v.unrecordedNamings() {
		stored, err := v.opts.Namings.RecordNamings(ctx, model, namings)
		if err != nil {
			return recorded, err
		}
		namingWrites.Inc()
		v.markRecorded(namings)
		for _, naming := range stored {
			v.applyNaming(naming)
		}
		recorded = true
	}
	return recorded, nil
}

// unrecordedNamings returns all namings of the models of which any is to be recorded.
func (v *View) unrecordedNamings() map[string][]Naming {
	v.mu.RLock()
	defer v.mu.RUnlock()
	namings := make(map[string][]Naming)
	for model, h := range v.targets {
		if !slices.ContainsFunc(h.versions, func(n namedVersion) bool { return n.unrecorded }) {
			continue
		}
		for _, n := range h.versions {
			namings[model] = append(namings[model], Naming{contract.Target{Model: model, Version: n.version}, n.notBefore})
		}
	}
	return namings
}

// markRecorded marks namings as recorded.
func (v *View) markRecorded(namings []Naming) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, naming := range namings {
		h := v.targets[naming.Model]
		for i := range h.versions {
			if h.versions[i].version == naming.Version {
				h.versions[i].unrecorded = false
			}
		}
	}
}
