package fill

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/coralstair/coralstair/machine"
)

// TestEntriesThatRestartStillCount checks, with 20, 300 and 2,300 entries, that a box goes on counting those whose links have ended for a
// window, so that entries that all restart do not each take itself for one of few.
func TestEntriesThatRestartStillCount(t *testing.T) {
	const window = 10 * time.Second
	for _, n := range []int{20, 300, 2300} {
		synctest.Test(t, func(t *testing.T) {
			ls := newLinks(&Box{cfg: Config{Machine: machine.Machine{Bounds: machine.Bounds{RetryWindow: window}}}})
			links := make([]*inboundLink, n)
			set := func(linked bool) {
				for _, l := range links {
					ls.mu.Lock()
					if linked {
						ls.in[l] = true
					} else {
						delete(ls.in, l)
					}
					ls.countEntries()
					ls.mu.Unlock()
				}
			}
			want := func(what string, want int) {
				t.Helper()
				if count, weight := ls.entries(); count != want || weight != 2*float64(want) {
					t.Errorf("%d entries: %d and %.0f by weight %s, want %d", n, count, weight, what, want)
				}
			}
			for i := range links {
				links[i] = &inboundLink{entry: true, weight: 2}
			}
			set(true)
			want("while all are linked", n)
			set(false)
			want("just after all have ended", n)
			time.Sleep(window / 2)
			want("within the window", n)
			time.Sleep(window)
			want("after the window", 0)
			set(true)
			want("when they are back", n)
		})
	}
}
