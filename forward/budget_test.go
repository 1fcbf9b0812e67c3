package forward

import (
	"testing"
	"time"
)

// What was seen: servers refused a third of what they got, and four of five entries were killed and started again. Each forgot what
// it had sent a second time, and took itself for the only one until boxes told; together they sent more than all may in a window.

// TestBudgetOverAStart proves that entries which start again do not send more, with what their earlier lives sent, than all may.
func TestBudgetOverAStart(t *testing.T) {
	const entries, slack, window = 5, 104, 10 * time.Second
	for name, test := range map[string]struct {
		// told is how many of the second tries come after the entry knows of the others.
		told bool
		age  time.Duration
	}{
		"before boxes tell":         {false, 100 * time.Millisecond},
		"after boxes tell":          {true, time.Second},
		"at the end of the window":  {true, window - time.Millisecond},
		"nothing is known for long": {false, window - time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			sent := 0
			spend := func(b *Budget, at time.Time) {
				for range slack {
					if b.Again("s", at) {
						sent++
					}
				}
			}
			for range entries {
				older := NewBudget(0.2, slack, window)
				older.SetEntries(entries)
				spend(older, start)
				newer := NewBudget(0.2, slack, window)
				newer.began = start
				if test.told {
					newer.SetEntries(entries)
				}
				spend(newer, start.Add(test.age))
			}
			if sent > slack {
				t.Errorf("%d second sends without a request, want at most %d", sent, slack)
			}
			if sent < slack/2 {
				t.Errorf("%d second sends, want most of %d", sent, slack)
			}
		})
	}
}
