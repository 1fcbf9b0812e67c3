package allowance

import "time"

// bucketsPerWindow is the number of buckets of a sliding window.
const bucketsPerWindow = 10

// Window is a sliding window, whose buckets are numbered from Origin. The origin is a time of clock.Now: with wall-clock time, setting
// the clock could end a window early and allow its part twice.
type Window struct {
	Length time.Duration
	Origin time.Time
}

// bucketAt returns the number of the bucket at a time.
func (w Window) bucketAt(now time.Time) int64 {
	return int64(now.Sub(w.Origin) / (w.Length / bucketsPerWindow))
}

// Counts holds a number for each bucket of a sliding window, the current bucket first: that one is not over yet, so there is one more than
// a window has. The zero value is empty.
type Counts struct {
	values  [bucketsPerWindow + 1]int64
	current int64
	started bool
}

// Advance makes the bucket at a time the current one; the buckets since the previous one are zero.
func (c *Counts) Advance(w Window, now time.Time) {
	bucket := w.bucketAt(now)
	if !c.started {
		c.current, c.started = bucket, true
	}
	passed := min(bucket-c.current, int64(len(c.values)))
	if passed <= 0 {
		return
	}
	copy(c.values[passed:], c.values[:])
	clear(c.values[:passed])
	c.current = bucket
}

// Add adds to the current bucket.
func (c *Counts) Add(n int64) { c.values[0] += n }

// Raise makes the current bucket at least n.
func (c *Counts) Raise(n int64) { c.values[0] = max(c.values[0], n) }

// Sum returns the total over the window.
func (c *Counts) Sum() int64 {
	total := int64(0)
	for _, value := range c.values {
		total += value
	}
	return total
}

// Most returns the largest number of a bucket of the window.
func (c *Counts) Most() int64 {
	most := c.values[0]
	for _, value := range c.values {
		most = max(most, value)
	}
	return most
}
