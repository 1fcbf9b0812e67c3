package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coralstair/coralstair/clock"
)

// A store that comes back from a copy lacks the latest records. Each entry keeps what it knows and stores again what is its own at
// once; what others told is stored again by whoever finds it missing first, some seconds later, since those who told it may be gone.

const (
	// othersAfter is how long the own records of other entries have to come back, othersSpread how much longer an entry waits at
	// most: of 60 entries the first writes some 0.1 s after the least wait, and the others hear of that from the feed.
	othersAfter  = 2 * time.Second
	othersSpread = 6 * time.Second
)

// takeCopy learns the records of a copy, keeps those that it lacks and has them stored again.
func (q *Quarantine) takeCopy(ctx context.Context, records Records) {
	q.mu.Lock()
	own, others := q.lacking(records)
	q.mu.Unlock()
	q.take(records.without(slices.Concat(own, others)), false)
	q.mu.Lock()
	for _, key := range own {
		q.pending[key] = true
	}
	for _, key := range others {
		q.lost[key] = true
	}
	q.mu.Unlock()
	if len(own)+len(others) > 0 {
		q.opts.Log.WithField("own", len(own)).WithField("others", len(others)).Warn("quarantine: the store came back without records; they are stored again")
	}
	q.wake()
	if len(others) == 0 {
		return
	}
	time.AfterFunc(othersAfter+rand.N(othersSpread), func() {
		if ctx.Err() == nil {
			q.storeLost()
		}
	})
}

// lacking returns the keys of the records that a copy lacks or knows less of, those of this entry apart; mu is held.
func (q *Quarantine) lacking(records Records) (own, others []string) {
	var stored Ledger
	stored.Take(records, clock.Now())
	for _, key := range q.ledger.Keys() {
		if stored.tells(key, &q.ledger) {
			continue
		}
		if q.ledger.ends[key].Entry == q.opts.Entry {
			own = append(own, key)
		} else {
			others = append(others, key)
		}
	}
	return own, others
}

// storeLost has the records stored that have not come back.
func (q *Quarantine) storeLost() {
	q.mu.Lock()
	for key := range q.lost {
		q.pending[key] = true
	}
	clear(q.lost)
	q.mu.Unlock()
	q.wake()
}
