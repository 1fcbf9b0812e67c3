package allowance

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func TestSharers(t *testing.T) {
	w := Window{Length: 10 * time.Second, Origin: start}
	for name, test := range map[string]struct {
		set     []int
		after   time.Duration
		entries int
		most    int
	}{
		"not known yet":          {nil, 0, DefaultEntries, DefaultEntries},
		"first count":            {[]int{3}, 0, 3, 3},
		"fewer within a window":  {[]int{5, 2}, 5 * time.Second, 2, 5},
		"fewer after a window":   {[]int{5, 2}, 12 * time.Second, 2, 2},
		"more count at once":     {[]int{2, 5}, 0, 5, 5},
		"at least one":           {[]int{0}, 0, 1, 1},
		"a dip does not take it": {[]int{9, 1, 9, 4}, time.Second, 4, 9},
	} {
		t.Run(name, func(t *testing.T) {
			var s Sharers
			for _, n := range test.set {
				s.Set(n, w, start)
			}
			if got := s.Entries(); got != test.entries {
				t.Errorf("%d entries, want %d", got, test.entries)
			}
			if got := s.Most(w, start.Add(test.after)); got != test.most {
				t.Errorf("%d entries at most, want %d", got, test.most)
			}
		})
	}
}

func TestTold(t *testing.T) {
	const window = 2 * time.Second
	for name, test := range map[string]struct {
		age  time.Duration
		want float64
	}{
		"just now":                  {0, 10},
		"a message a second late":   {time.Second, 10},
		"silent for half a window":  {freshTime + window/2, 5},
		"silent for longer":         {freshTime + window, 0},
		"by a clock slightly ahead": {-time.Second, 10},
	} {
		t.Run(name, func(t *testing.T) {
			var told Told[float64]
			told.Record("a", 10, start)
			told.Record("a", 99, start.Add(-time.Second))
			sum := 0.0
			for use, weight := range told.All(window, start.Add(test.age)) {
				sum += weight * use
			}
			if sum != test.want {
				t.Errorf("%v counts, want %v", sum, test.want)
			}
		})
	}
}

// TestToldIsBounded checks that many senders don't fill the memory, and that new ones are heard once others expired.
func TestToldIsBounded(t *testing.T) {
	var told Told[int]
	for i := range 2 * maxSenders {
		told.Record(time.Duration(i).String(), 1, start)
	}
	count := func(now time.Time) (n int) {
		for range told.All(time.Second, now) {
			n++
		}
		return n
	}
	if n := count(start); n != maxSenders {
		t.Errorf("%d senders kept, want %d", n, maxSenders)
	}
	if n := count(start.Add(time.Minute)); n != 0 {
		t.Errorf("%d senders count after a minute", n)
	}
	told.Record("new", 1, start.Add(time.Minute))
	if n := count(start.Add(time.Minute)); n != 1 {
		t.Errorf("%d senders count, want the new one", n)
	}
}
