package allowance

import (
	"iter"
	"time"
)

const (
	// freshTime is how long what another entry told counts in full: some messages may be late or lost.
	freshTime = 1500 * time.Millisecond
	// maxSenders bounds the entries whose messages are kept; more are ignored until others expire.
	maxSenders = 256
)

// Told is what other entries told of their use, with its age. The zero value is empty; it is not safe for concurrent use.
type Told[T any] struct {
	bySender map[string]told[T]
}

type told[T any] struct {
	use T
	at  time.Time
}

// Record records what an entry has used as of a time; older news than the known ones are ignored.
func (t *Told[T]) Record(sender string, use T, at time.Time) {
	known, ok := t.bySender[sender]
	if ok && at.Before(known.at) || !ok && len(t.bySender) >= maxSenders {
		return
	}
	if t.bySender == nil {
		t.bySender = make(map[string]told[T])
	}
	t.bySender[sender] = told[T]{use: use, at: at}
}

// All returns what each entry told and the weight at which it still counts: 1 while fresh, then falling to 0 over a window, as the use
// of an entry that fell silent leaves its window. What no longer counts is dropped.
func (t *Told[T]) All(window time.Duration, now time.Time) iter.Seq2[T, float64] {
	return func(yield func(T, float64) bool) {
		for sender, told := range t.bySender {
			weight := min(1, 1-float64(now.Sub(told.at)-freshTime)/float64(window))
			if weight <= 0 {
				delete(t.bySender, sender)
				continue
			}
			if !yield(told.use, weight) {
				return
			}
		}
	}
}
