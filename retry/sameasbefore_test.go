package retry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/coralstair/coralstair/allowance"
)

// frozenBudget is the rule for shares of a budget as it stood before package allowance, unchanged.
type frozenBudget struct {
	ratio         float64
	slack         int
	window        time.Duration
	startedAt     time.Time
	entries       int
	entriesBefore frozenBuckets
	entriesKnown  bool
	requests      frozenBuckets
	retries       frozenBuckets
}

type frozenBuckets struct {
	values  [11]int
	current int64
	started bool
}

func (bs *frozenBuckets) advance(bucket int64) {
	if !bs.started {
		bs.current, bs.started = bucket, true
	}
	passed := min(bucket-bs.current, int64(len(bs.values)))
	if passed <= 0 {
		return
	}
	copy(bs.values[passed:], bs.values[:])
	clear(bs.values[:passed])
	bs.current = bucket
}

func (bs *frozenBuckets) sum() int {
	total := 0
	for _, value := range bs.values {
		total += value
	}
	return total
}

func (b *frozenBudget) bucketAt(now time.Time) int64 {
	return int64(now.Sub(timeOrigin) / (b.window / 10))
}

func (b *frozenBudget) setEntries(n int, now time.Time) {
	if b.entriesKnown {
		b.entriesBefore.advance(b.bucketAt(now))
		b.entriesBefore.values[0] = max(b.entriesBefore.values[0], b.entries)
	}
	b.entries, b.entriesKnown = max(n, 1), true
}

func (b *frozenBudget) mostEntries(now time.Time) int {
	b.entriesBefore.advance(b.bucketAt(now))
	return max(b.entries, slices.Max(b.entriesBefore.values[:]))
}

func (b *frozenBudget) countRequest(now time.Time) {
	b.advance(now)
	b.requests.values[0]++
}

func (b *frozenBudget) advance(now time.Time) {
	b.requests.advance(b.bucketAt(now))
	b.retries.advance(b.bucketAt(now))
}

func (b *frozenBudget) usage(now time.Time) Usage {
	b.advance(now)
	u := Usage{Requests: b.requests.sum(), Retries: b.retries.sum(), Entries: b.mostEntries(now)}
	fraction, slack := 0.7, float64(b.slack)/float64(u.Entries)
	if age := now.Sub(b.startedAt); age < b.window {
		fraction, slack = 0.2, slack*age.Seconds()/b.window.Seconds()
	}
	u.Allowed = fraction * (b.ratio*float64(u.Requests) + slack)
	return u
}

func (b *frozenBudget) take(fraction float64, now time.Time) bool {
	if u := b.usage(now); float64(u.Retries+1) > fraction*u.Allowed {
		return false
	}
	b.retries.values[0]++
	return true
}

// limitShare is the frozen share of a server's limit.
func (b *frozenBudget) limitShare(weight float64, inDoubt bool, now time.Time) float64 {
	entries := b.mostEntries(now)
	if inDoubt {
		entries = max(entries, 20)
	}
	return min(weight/float64(max(entries, 1)), 1)
}

// TestSameDecisionsAsTheFrozenRule replays random sequences against the rule as it stood before package allowance.
func TestSameDecisionsAsTheFrozenRule(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			ratio, slack, window := r.Float64(), r.IntN(200), time.Duration(1+r.IntN(20000))*time.Millisecond
			now := timeOrigin.Add(time.Duration(r.Int64N(int64(time.Hour))) - 30*time.Minute)
			b, frozen := NewBudget(ratio, slack, window), &frozenBudget{ratio: ratio, slack: slack, window: window, entries: 20}
			if r.IntN(3) > 0 {
				b.StartedAt(now)
				frozen.startedAt = now
			}
			taken := 0
			for step := range 2000 {
				// Time mostly passes in small steps, goes back a little at times, and jumps over windows.
				switch r.IntN(40) {
				case 0:
					now = now.Add(time.Duration(r.Int64N(int64(2 * window))))
				case 1:
					now = now.Add(-window / 20)
				default:
					now = now.Add(time.Duration(r.Int64N(int64(window)/50 + 1)))
				}
				switch r.IntN(10) {
				case 0:
					n := r.IntN(30) - 1
					b.SetEntries(n, now)
					frozen.setEntries(n, now)
				case 1, 2, 3, 4:
					b.CountRequest("s", now)
					frozen.countRequest(now)
				case 5:
					slack, ratio := r.IntN(200), r.Float64()
					b.SetAllowance(ratio, slack)
					frozen.ratio, frozen.slack = ratio, slack
				case 6:
					if got, want := b.TakeOptionalRetry("s", now), frozen.take(0.9, now); got != want {
						t.Fatalf("step %d: optional retry %v, want %v", step, got, want)
					}
				default:
					got, want := b.TakeRetry("s", now), frozen.take(1, now)
					if got != want {
						t.Fatalf("step %d: retry %v, want %v", step, got, want)
					}
					if got {
						taken++
					}
				}
				if got, want := b.Usage("s", now), frozen.usage(now); got != want {
					t.Fatalf("step %d: usage %+v, want %+v", step, got, want)
				}
				weight, inDoubt := r.Float64()*2, r.IntN(2) == 0
				entries := b.MostEntries(now)
				if inDoubt {
					entries = allowance.InDoubt(entries)
				}
				if got, want := allowance.Fraction(weight, entries), frozen.limitShare(weight, inDoubt, now); got != want {
					t.Fatalf("step %d: share %v, want %v", step, got, want)
				}
			}
			if taken == 0 && slack > 20 {
				t.Log("no retry was taken")
			}
		})
	}
}
