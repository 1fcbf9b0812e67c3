package quarantine

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/discovery"
)

const (
	// batchDelay collects the requests of one exit into one write: their connections break within milliseconds.
	batchDelay = 20 * time.Millisecond
	// writeTimeout bounds a write call, so that one on a dead connection is retried on another.
	writeTimeout  = time.Second
	minBackoff    = 100 * time.Millisecond
	maxBackoff    = 800 * time.Millisecond
	sweepInterval = time.Minute
	// peerCheckInterval is how often to check whether a peer entry still relays the stored records.
	peerCheckInterval = 500 * time.Millisecond
)

// Store shares the records of all entries.
type Store interface {
	// Records returns all records. RecordsAfter is a long poll that returns the changes after cursor, none if wait passes.
	Records(ctx context.Context) (Records, discovery.Cursor, error)
	RecordsAfter(ctx context.Context, cursor discovery.Cursor, wait time.Duration) (Records, discovery.Cursor, error)
	// WriteRecords stores records and removes those in Removed. It is idempotent.
	WriteRecords(ctx context.Context, records Records) error
}

// ServeReads follows the store's records until ctx ends.
func (q *Quarantine) ServeReads(ctx context.Context) error {
	if q.opts.Store == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	cursor, known, pause, wait := discovery.Cursor{}, false, minBackoff, q.opts.Wait
	for ctx.Err() == nil {
		if q.opts.PeerActive != nil && q.opts.PeerActive() {
			known = false
			sleep(ctx, peerCheckInterval)
			continue
		}
		records, next, err := q.read(ctx, known, cursor, wait)
		if err != nil {
			// Do not long-poll an unreachable store: the call may hang long after the store has recovered.
			wait = 0
			known = known && !errors.As(err, new(*discovery.HistoryGoneError))
			sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, maxBackoff)
			continue
		}
		switch {
		case !known && next.Epoch > cursor.Epoch && cursor != discovery.Cursor{}:
			q.mergeRestored(ctx, records)
		case !known || records.Len() > 0:
			q.merge(records, !known)
		}
		cursor, known, pause, wait = next, true, minBackoff, q.opts.Wait
	}
	return ctx.Err()
}

// read makes one call to the store and repeats a long poll whose response is overdue.
func (q *Quarantine) read(ctx context.Context, known bool, cursor discovery.Cursor, wait time.Duration) (Records, discovery.Cursor, error) {
	if !known {
		return q.opts.Store.Records(ctx)
	}
	type result struct {
		records Records
		cursor  discovery.Cursor
	}
	got, err := discovery.HedgedPoll(ctx, wait, func(ctx context.Context, wait time.Duration) (result, error) {
		records, next, err := q.opts.Store.RecordsAfter(ctx, cursor, wait)
		return result{records, next}, err
	})
	return got.records, got.cursor, err
}

// ServeWrites stores this entry's pending records and removes expired ones until ctx ends.
func (q *Quarantine) ServeWrites(ctx context.Context) error {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-q.writeRequested:
			sleep(ctx, batchDelay)
			q.writePending(ctx)
		case <-sweep.C:
			q.sweep(ctx)
		}
	}
}

// writePending stores the pending records and retries until it succeeds.
func (q *Quarantine) writePending(ctx context.Context) {
	for pause := minBackoff; ctx.Err() == nil; pause = min(2*pause, maxBackoff) {
		q.mu.Lock()
		records, versions := q.pendingRecords(), maps.Clone(q.ledger.versions)
		q.mu.Unlock()
		if records.Len() == 0 {
			return
		}
		if err := q.write(ctx, records); err != nil {
			q.opts.Log.WithField("cause", err.Error()).Warn("quarantine: what ended is not stored yet")
			sleep(ctx, pause/2+rand.N(pause))
			continue
		}
		q.clearPending(versions)
	}
}

// clearPending marks the records as stored in the given versions. A record that has changed since stays pending: until it is
// written, the stored one is older than this entry's.
func (q *Quarantine) clearPending(versions map[string]int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for key := range q.pending {
		if version, known := q.ledger.versions[key]; !known || version == versions[key] {
			delete(q.pending, key)
		}
	}
}

// write stores records. It does nothing without a store.
func (q *Quarantine) write(ctx context.Context, records Records) error {
	if q.opts.Store == nil || records.Len() == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return q.opts.Store.WriteRecords(ctx, records)
}

// sweep removes expired records; if the write fails, the next sweep retries.
func (q *Quarantine) sweep(ctx context.Context) {
	q.mu.Lock()
	old := q.ledger.LearnedBefore(clock.Now().Add(-q.retention))
	q.forgetUnsuspected()
	q.mu.Unlock()
	if len(old) == 0 || q.write(ctx, Records{Removed: old}) != nil {
		return
	}
	q.merge(Records{Removed: old}, false)
}

// forgetUnsuspected drops what is kept of prompt parts that no record names any more; mu is held.
func (q *Quarantine) forgetUnsuspected() {
	maps.DeleteFunc(q.unshared, func(part Fingerprint, _ int) bool { return !q.ledger.parts[part] })
	maps.DeleteFunc(q.triedAt, func(part Fingerprint, _ time.Time) bool { return !q.ledger.parts[part] })
}

func sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}
