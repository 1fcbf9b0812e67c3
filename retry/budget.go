package retry

import (
	"sync"
	"time"

	"github.com/coralstair/coralstair/allowance"
	"github.com/coralstair/coralstair/clock"
)

// Budget limits the retries of one entry to its share of the budget of all entries.
type Budget struct {
	window allowance.Window

	// startedAt is when the entry started; zero means long ago.
	startedAt time.Time

	mu        sync.Mutex
	allowance allowance.Allowance
	sharers   allowance.Sharers
	byService map[string]*windowCounts
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
	requests, retries allowance.Counts
}

// timeOrigin is the time from which the buckets of windows are numbered.
var timeOrigin = clock.Now()

// optionalFraction is the fraction of the allowed retries that optional ones may use, lessUrgentFraction that of optional ones of less
// urgent requests: a flood of these would leave none to the others.
const (
	optionalFraction   = 0.9
	lessUrgentFraction = 0.25
)

// NewBudget returns a budget that allows, over all entries and per window, ratio retries per request plus slack.
func NewBudget(ratio float64, slack int, window time.Duration) *Budget {
	entriesAssumed.Set(allowance.DefaultEntries)
	return &Budget{
		window: allowance.Window{Length: window, Origin: timeOrigin}, allowance: allowance.Allowance{Ratio: ratio, Slack: slack},
		byService: make(map[string]*windowCounts),
	}
}

// SetAllowance changes the ratio and the slack that all entries share.
func (b *Budget) SetAllowance(ratio float64, slack int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.allowance = allowance.Allowance{Ratio: ratio, Slack: slack}
}

// StartedAt sets when the entry started; an earlier run may have used the first window's budget.
func (b *Budget) StartedAt(at time.Time) { b.startedAt = at }

// CountRequest counts the first attempt of a request to a service.
func (b *Budget) CountRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts(service, now).requests.Add(1)
}

// SetEntries sets how many entries share the budget, at least 1.
func (b *Budget) SetEntries(n int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sharers.Set(n, b.window, now)
	entriesAssumed.Set(float64(b.sharers.Entries()))
}

// Entries returns how many entries are assumed to share the budget.
func (b *Budget) Entries() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sharers.Entries()
}

// MostEntries returns the largest number of entries assumed within the window.
func (b *Budget) MostEntries(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sharers.Most(b.window, now)
}

// TakeRetry takes one retry from a service's budget and reports whether one was left.
func (b *Budget) TakeRetry(service string, now time.Time) bool { return b.take(service, 1, now) }

// TakeOptionalRetry is like TakeRetry, for a request that would do without: it leaves a reserve for others.
func (b *Budget) TakeOptionalRetry(service string, now time.Time) bool {
	return b.take(service, optionalFraction, now)
}

// TakeLessUrgentRetry is like TakeOptionalRetry, and leaves a reserve for more urgent requests too.
func (b *Budget) TakeLessUrgentRetry(service string, now time.Time) bool {
	return b.take(service, lessUrgentFraction, now)
}

// take takes one retry unless a fraction of the allowed ones is used.
func (b *Budget) take(service string, fraction float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u := b.usage(service, now); float64(u.Retries+1) > fraction*u.Allowed {
		retriesRefused.Inc()
		return false
	}
	b.counts(service, now).retries.Add(1)
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
	u := Usage{Requests: int(w.requests.Sum()), Retries: int(w.retries.Sum()), Entries: b.sharers.Most(b.window, now)}
	u.Allowed = b.allowance.Part(u.Requests, u.Entries, now.Sub(b.startedAt), b.window.Length)
	return u
}

// counts returns a service's counts, advanced to now; mu is held.
func (b *Budget) counts(service string, now time.Time) *windowCounts {
	w := b.byService[service]
	if w == nil {
		w = &windowCounts{}
		b.byService[service] = w
	}
	w.requests.Advance(b.window, now)
	w.retries.Advance(b.window, now)
	return w
}
