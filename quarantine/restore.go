package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coralstair/coralstair/clock"
)

const (
	// restoreDelay is how long an entry waits for other entries to rewrite their own records. A random delay of up to
	// restoreJitter is added, so that one entry rewrites the rest and the others see its writes first.
	restoreDelay  = 2 * time.Second
	restoreJitter = 6 * time.Second
)

// mergeRestored merges the records of a store that was restored from a backup, and stores known records that it lacks:
// this entry's exit records immediately, all others after a delay, since the entries that wrote them may no longer run.
func (q *Quarantine) mergeRestored(ctx context.Context, records Records) {
	q.mu.Lock()
	own, others := q.missingFrom(records)
	q.mu.Unlock()
	q.merge(records.without(slices.Concat(own, others)), false)
	q.mu.Lock()
	for _, key := range own {
		q.pending[key] = true
	}
	for _, key := range others {
		q.missing[key] = true
	}
	q.mu.Unlock()
	if len(own)+len(others) > 0 {
		q.opts.Log.WithField("own", len(own)).WithField("others", len(others)).Warn("quarantine: the store came back without records; they are stored again")
	}
	q.requestWrite()
	if len(others) == 0 {
		return
	}
	time.AfterFunc(restoreDelay+rand.N(restoreJitter), func() {
		if ctx.Err() == nil {
			q.rewriteMissing()
		}
	})
}

// missingFrom returns the keys of records that are missing or less complete in a restored store: this entry's exit records,
// and all others; mu is held.
func (q *Quarantine) missingFrom(records Records) (own, others []string) {
	var stored Ledger
	stored.Merge(records, clock.Now())
	for _, key := range q.ledger.Keys() {
		if stored.covers(key, &q.ledger) {
			continue
		}
		if q.ledger.exits[key].Entry == q.opts.Entry {
			own = append(own, key)
		} else {
			others = append(others, key)
		}
	}
	return own, others
}

// rewriteMissing stores the missing records that no entry has rewritten yet.
func (q *Quarantine) rewriteMissing() {
	q.mu.Lock()
	for key := range q.missing {
		q.pending[key] = true
	}
	clear(q.missing)
	q.mu.Unlock()
	q.requestWrite()
}
