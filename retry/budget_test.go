package retry

import (
	"testing"
	"time"
)

// TestBudgetOverAStart checks that restarted entries, together with their earlier runs, stay within the shared budget.
func TestBudgetOverAStart(t *testing.T) {
	const entries, slack, window = 5, 104, 10 * time.Second
	for name, test := range map[string]struct {
		// known says that the retries come after the entry knows the number of entries.
		known bool
		age   time.Duration
	}{
		"number of entries unknown":           {false, 100 * time.Millisecond},
		"number of entries known":             {true, time.Second},
		"known, at the end of the window":     {true, window - time.Millisecond},
		"unknown until the end of the window": {false, window - time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			sent := 0
			spend := func(b *Budget, at time.Time) {
				for range slack {
					if b.TakeRetry("s", at) {
						sent++
					}
				}
			}
			for range entries {
				before := NewBudget(0.2, slack, window)
				before.SetEntries(entries, start)
				spend(before, start)
				restarted := NewBudget(0.2, slack, window)
				restarted.StartedAt(start)
				if test.known {
					restarted.SetEntries(entries, start.Add(test.age))
				}
				spend(restarted, start.Add(test.age))
			}
			if sent > slack {
				t.Errorf("%d retries without a request, want at most %d", sent, slack)
			}
			if sent < slack/2 {
				t.Errorf("%d retries, want most of %d", sent, slack)
			}
		})
	}
}

func TestBudget(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		entries, requests, retries, want int
		after                            time.Duration
	}{
		"slack only, one entry":       {1, 0, 100, 70, 0},
		"slack only, shared":          {5, 0, 100, 14, 0},
		"slack and ratio, shared":     {5, 500, 1000, 84, 0},
		"renewed after a window":      {5, 0, 100, 14, 12 * time.Second},
		"not renewed within a window": {5, 0, 100, 0, 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(0.2, 100, 10*time.Second)
			b.SetEntries(test.entries, start)
			take := func(at time.Time) int {
				n := 0
				for range test.retries {
					if b.TakeRetry("s", at) {
						n++
					}
				}
				return n
			}
			for range test.requests {
				b.CountRequest("s", start)
			}
			got := take(start)
			if test.after > 0 {
				got = take(start.Add(test.after))
			}
			if got != test.want {
				t.Errorf("%d retries, want %d", got, test.want)
			}
		})
	}
}

// TestOptionalRetriesLeaveAReserve guards against optional retries that use up what requests in need of one are allowed.
func TestOptionalRetriesLeaveAReserve(t *testing.T) {
	const most = 100
	now := time.Unix(1000, 0)
	b := NewBudget(0.2, most, 10*time.Second)
	b.SetEntries(1, now)
	count := func(take func(string, time.Time) bool) int {
		n := 0
		for range most {
			if take("s", now) {
				n++
			}
		}
		return n
	}
	optional, reserve := count(b.TakeOptionalRetry), count(b.TakeRetry)
	if optional != 63 || optional+reserve != 70 {
		t.Errorf("%d optional retries and %d others, want 63 and 70 together", optional, reserve)
	}
}

// TestLessUrgentRetriesLeaveAReserve guards against a flood of less urgent requests that leaves no retry to the others.
func TestLessUrgentRetriesLeaveAReserve(t *testing.T) {
	const slack = 100
	b, now := NewBudget(0.2, slack, 10*time.Second), time.Unix(1000, 0)
	b.SetEntries(1, now)
	count := func(take func(service string, now time.Time) bool) (n int) {
		for range slack {
			if take("s", now) {
				n++
			}
		}
		return n
	}
	less, optional := count(b.TakeLessUrgentRetry), count(b.TakeOptionalRetry)
	if less == 0 || optional < 2*less {
		t.Errorf("%d retries of less urgent requests, then %d of others", less, optional)
	}
}
