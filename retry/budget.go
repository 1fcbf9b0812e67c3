package retry

import (
	"slices"
	"sync"
	"time"

	"github.com/coralstair/coralstair/clock"
)

// Budget limits the retries of one entry to its share of the budget of all entries.
type Budget struct {
	ratio  float64
	slack  int
	window time.Duration

	// startedAt is when the entry started; zero means long ago.
	startedAt time.Time

	mu      sync.Mutex
	entries int
	// entriesBefore are the larger numbers of entries that were replaced within the window.
	entriesBefore buckets
	entriesKnown  bool
	byService     map[string]*windowCounts
}

// Usage is how much of its share of a service's budget an entry has used in the current window.
type Usage struct {
	// Requests and Retries are those of this entry in the window, Allowed how many retries it may take.
	Requests, Retries int
	Allowed           float64
	// Entries is how many entries are assumed to share the budget, the most within the window.
	Entries int
}

// windowCounts counts the requests and retries of one service in a sliding window.
type windowCounts struct {
	requests, retries buckets
}

// timeOrigin is the time from which buckets are numbered. Wall-clock time would not do: setting it could end a window early
// and allow its retries twice.
var timeOrigin = clock.Now()

// usableFraction is the fraction of the budget that is used, since entries learn of changes in their number late.
const usableFraction = 0.7

// startupFraction is the fraction of the budget that is used in the first window after a start: an earlier run of the entry
// may have used all of its share in the same window.
const startupFraction = 0.2

// DefaultEntries is the number of entries assumed to share a budget until the real number is known.
const DefaultEntries = 20

// optionalFraction is the fraction of the allowed retries that optional ones may use.
const optionalFraction = 0.9

// NewBudget returns a budget that allows, over all entries and per window, ratio retries per request plus slack.
func NewBudget(ratio float64, slack int, window time.Duration) *Budget {
	entriesAssumed.Set(DefaultEntries)
	return &Budget{ratio: ratio, slack: slack, window: window, entries: DefaultEntries, byService: make(map[string]*windowCounts)}
}

// SetAllowance changes the ratio and the slack that all entries share.
func (b *Budget) SetAllowance(ratio float64, slack int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
}

// StartedAt sets when the entry started; an earlier run may have used the first window's budget.
func (b *Budget) StartedAt(at time.Time) { b.startedAt = at }

// CountRequest counts the first attempt of a request to a service.
func (b *Budget) CountRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts(service, now).requests.values[0]++
}

// SetEntries sets how many entries share the budget, at least 1. A smaller number lets an entry use more retries only after a
// window: until then those used by the entries that are gone still count, and they may come back.
func (b *Budget) SetEntries(n int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.entriesKnown {
		b.entriesBefore.advance(b.bucketAt(now))
		b.entriesBefore.values[0] = max(b.entriesBefore.values[0], b.entries)
	}
	b.entries, b.entriesKnown = max(n, 1), true
	entriesAssumed.Set(float64(b.entries))
}

// Entries returns how many entries are assumed to share the budget.
func (b *Budget) Entries() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entries
}

// MostEntries returns the largest number of entries assumed within the window.
func (b *Budget) MostEntries(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mostEntries(now)
}

// mostEntries returns the largest number of entries assumed within the window; mu is held.
func (b *Budget) mostEntries(now time.Time) int {
	b.entriesBefore.advance(b.bucketAt(now))
	return max(b.entries, slices.Max(b.entriesBefore.values[:]))
}

// TakeRetry takes one retry from a service's budget and reports whether one was left.
func (b *Budget) TakeRetry(service string, now time.Time) bool { return b.take(service, 1, now) }

// TakeOptionalRetry is like TakeRetry, for a request that would do without: it leaves a reserve for others.
func (b *Budget) TakeOptionalRetry(service string, now time.Time) bool {
	return b.take(service, optionalFraction, now)
}

// take takes one retry unless a fraction of the allowed ones is used.
func (b *Budget) take(service string, fraction float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u := b.usage(service, now); float64(u.Retries+1) > fraction*u.Allowed {
		retriesRefused.Inc()
		return false
	}
	b.counts(service, now).retries.values[0]++
	retriesTaken.Inc()
	return true
}

// Usage returns what this entry has counted and may use of a service's budget.
func (b *Budget) Usage(service string, now time.Time) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage(service, now)
}

// usage returns the usage of a service's budget; mu is held.
func (b *Budget) usage(service string, now time.Time) Usage {
	w := b.counts(service, now)
	u := Usage{Requests: w.requests.sum(), Retries: w.retries.sum(), Entries: b.mostEntries(now)}
	fraction, slack := usableFraction, float64(b.slack)/float64(u.Entries)
	if age := now.Sub(b.startedAt); age < b.window {
		// The slack grows with age: entries that restart again and again get no more of it than one that runs on.
		fraction, slack = startupFraction, slack*age.Seconds()/b.window.Seconds()
	}
	u.Allowed = fraction * (b.ratio*float64(u.Requests) + slack)
	return u
}

// counts returns a service's counts, advanced to now; mu is held.
func (b *Budget) counts(service string, now time.Time) *windowCounts {
	w := b.byService[service]
	if w == nil {
		w = &windowCounts{}
		b.byService[service] = w
	}
	bucket := b.bucketAt(now)
	w.requests.advance(bucket)
	w.retries.advance(bucket)
	return w
}

// bucketAt returns the number of the bucket at a time.
func (b *Budget) bucketAt(now time.Time) int64 {
	return int64(now.Sub(timeOrigin) / (b.window / bucketsPerWindow))
}
