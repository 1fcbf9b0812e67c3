package admit

import "time"

// rateWindow is the time over which the drain rate is smoothed.
const rateWindow = 2 * time.Second

// Rate measures how many requests a second get their turn; a zero Rate has seen none.
type Rate struct {
	value float64
	since time.Time
	count int
}

// Note counts one request that got its turn.
func (r *Rate) Note(now time.Time) {
	r.advance(now)
	r.count++
}

// PerSecond returns the rate; 0 while it is not known.
func (r *Rate) PerSecond(now time.Time) float64 {
	r.advance(now)
	return r.value
}

// advance closes the current window once it is over; the newest window weighs half.
func (r *Rate) advance(now time.Time) {
	if r.since.IsZero() {
		r.since = now
		return
	}
	elapsed := now.Sub(r.since)
	if elapsed < rateWindow/4 {
		return
	}
	fresh := float64(r.count) / elapsed.Seconds()
	if r.value == 0 {
		r.value = fresh
	} else {
		r.value = (r.value + fresh) / 2
	}
	r.since, r.count = now, 0
}
