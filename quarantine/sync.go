package quarantine

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/view"
)

const (
	// gatherTime is how long what one end brings is gathered into one call: its connections break within milliseconds.
	gatherTime = 20 * time.Millisecond
	// writeTime bounds a call that writes: one on a connection that has fallen silent is made again on another.
	writeTime  = time.Second
	leastPause = 100 * time.Millisecond
	mostPause  = 800 * time.Millisecond
	sweepEvery = time.Minute
	// toldCheck is how often it is looked whether another entry still tells what is stored.
	toldCheck = 500 * time.Millisecond
)

// Store keeps records for all entries.
type Store interface {
	// Records returns all records, RecordsAfter what has changed after a place in the store's history, at the latest after wait.
	Records(ctx context.Context) (Records, view.Cursor, error)
	RecordsAfter(ctx context.Context, cursor view.Cursor, wait time.Duration) (Records, view.Cursor, error)
	// WriteRecords stores records and removes those that are gone; what is stored twice stands there once.
	WriteRecords(ctx context.Context, records Records) error
}

// ServeReads follows what other entries store until ctx ends.
func (q *Quarantine) ServeReads(ctx context.Context) error {
	if q.opts.Store == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	cursor, known, pause, wait := view.Cursor{}, false, leastPause, q.opts.Wait
	for ctx.Err() == nil {
		if q.opts.Told != nil && q.opts.Told() {
			known = false
			sleep(ctx, toldCheck)
			continue
		}
		records, next, err := q.read(ctx, known, cursor, wait)
		if err != nil {
			// A call that waits at a store that is away may hang long after it is back.
			wait = 0
			known = known && !errors.As(err, new(*view.HistoryGoneError))
			sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, mostPause)
			continue
		}
		switch {
		case !known && next.Epoch > cursor.Epoch && cursor != view.Cursor{}:
			q.takeCopy(ctx, records)
		case !known || records.Size() > 0:
			q.take(records, !known)
		}
		cursor, known, pause, wait = next, true, leastPause, q.opts.Wait
	}
	return ctx.Err()
}

// read makes one call; it is made anew when its answer is overdue.
func (q *Quarantine) read(ctx context.Context, known bool, cursor view.Cursor, wait time.Duration) (Records, view.Cursor, error) {
	if !known {
		return q.opts.Store.Records(ctx)
	}
	type news struct {
		records Records
		cursor  view.Cursor
	}
	got, err := view.Reissued(ctx, wait, func(ctx context.Context, wait time.Duration) (news, error) {
		records, next, err := q.opts.Store.RecordsAfter(ctx, cursor, wait)
		return news{records, next}, err
	})
	return got.records, got.cursor, err
}

// ServeWrites stores what this entry tells, and removes what is too old, until ctx ends.
func (q *Quarantine) ServeWrites(ctx context.Context) error {
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-q.woken:
			sleep(ctx, gatherTime)
			q.writePending(ctx)
		case <-sweep.C:
			q.sweep(ctx)
		}
	}
}

// writePending stores what is pending, however often it takes.
func (q *Quarantine) writePending(ctx context.Context) {
	for pause := leastPause; ctx.Err() == nil; pause = min(2*pause, mostPause) {
		q.mu.Lock()
		records, versions := q.pendingRecords(), maps.Clone(q.ledger.versions)
		q.mu.Unlock()
		if records.Size() == 0 {
			return
		}
		if err := q.write(ctx, records); err != nil {
			q.opts.Log.WithField("cause", err.Error()).Warn("quarantine: what ended is not stored yet")
			sleep(ctx, pause/2+rand.N(pause))
			continue
		}
		q.stored(versions)
	}
}

// stored notes that records are stored in versions. What has changed since is still pending; until it is stored, what the store
// tells of it is older than what this entry knows.
func (q *Quarantine) stored(versions map[string]int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for key := range q.pending {
		if version, known := q.ledger.versions[key]; !known || version == versions[key] {
			delete(q.pending, key)
		}
	}
}

// write stores records; there is nothing to do without a store.
func (q *Quarantine) write(ctx context.Context, records Records) error {
	if q.opts.Store == nil || records.Size() == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	return q.opts.Store.WriteRecords(ctx, records)
}

// sweep removes records that have been kept long enough; one that is not removed now is the next time.
func (q *Quarantine) sweep(ctx context.Context) {
	q.mu.Lock()
	old := q.ledger.Older(clock.Now().Add(-q.keep))
	q.mu.Unlock()
	if len(old) == 0 || q.write(ctx, Records{Gone: old}) != nil {
		return
	}
	q.take(Records{Gone: old}, false)
}

func sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}
