package admit

import "time"

// rateWindow is the time over which the rate is smoothed.
const rateWindow = 2 * time.Second

// Rate measures how many requests are dispatched per second. The zero value is ready to use.
type Rate struct {
	value       float64
	windowStart time.Time
	count       int
}

// Record counts one dispatched request.
func (r *Rate) Record(now time.Time) {
	r.advance(now)
	r.count++
}

// PerSecond returns the rate, 0 while it is unknown.
func (r *Rate) PerSecond(now time.Time) float64 {
	r.advance(now)
	return r.value
}

// advance ends the measuring interval once it is long enough; the latest interval has half the weight.
func (r *Rate) advance(now time.Time) {
	if r.windowStart.IsZero() {
		r.windowStart = now
		return
	}
	elapsed := now.Sub(r.windowStart)
	if elapsed < rateWindow/4 {
		return
	}
	latest := float64(r.count) / elapsed.Seconds()
	if r.value == 0 {
		r.value = latest
	} else {
		r.value = (r.value + latest) / 2
	}
	r.windowStart, r.count = now, 0
}
