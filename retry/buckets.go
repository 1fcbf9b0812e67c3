package retry

// bucketsPerWindow is the number of buckets of a sliding window.
const bucketsPerWindow = 10

// buckets hold a number for each bucket of a sliding window, the current bucket first.
type buckets struct {
	values  [bucketsPerWindow + 1]int
	current int64
	started bool
}

// advance makes a bucket the current one; the buckets since the previous one are zero.
func (bs *buckets) advance(bucket int64) {
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

// sum returns the total over the window.
func (bs *buckets) sum() int {
	total := 0
	for _, value := range bs.values {
		total += value
	}
	return total
}
