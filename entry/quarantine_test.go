package entry

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/coralstair/coralstair/link"
)

// What callers would see: one request ends the engine that runs it, is handed to up to eight boxes, and comes again. The cause: an
// engine's end was held against its box alone, never against the request.

// dying has an engine end under each request, and counts that.
func dying(ends *atomic.Int64) answering {
	return func(b *fakeBox, n int, id uint64) {
		ends.Add(1)
		b.send(&link.End{ID: id, Outcome: link.OutcomeUnknown, Reason: "the engine has ended", Ended: fmt.Sprintf("%s#%d", b.member.ID, n)})
	}
}

// TestEnginesEndUnderARequest proves that a request under which three engines have ended is handed to no more boxes.
func TestEnginesEndUnderARequest(t *testing.T) {
	t.Parallel()
	var ends atomic.Int64
	w := newBoxWorld(t, dying(&ends), dying(&ends), dying(&ends), dying(&ends), dying(&ends), dying(&ends))
	for n := range 4 {
		got := w.ask(fakeWait)
		want, outcome := http.StatusServiceUnavailable, "not-run"
		if n == 0 {
			want, outcome = http.StatusBadGateway, "unknown"
		}
		if got.Code != want || got.Header().Get(HeaderOutcome) != outcome {
			t.Errorf("the %d. time: status %d, %s", n+1, got.Code, got.Header().Get(HeaderOutcome))
		}
	}
	if n := ends.Load(); n != 3 {
		t.Errorf("%d engines ended, want 3", n)
	}
}

// TestLostLinksHoldNothing proves that a request whose answers are lost while engines go on is not held.
func TestLostLinksHoldNothing(t *testing.T) {
	t.Parallel()
	var well atomic.Bool
	lose := func(b *fakeBox, n int, id uint64) {
		if well.Load() {
			good(b, n, id)
			return
		}
		b.end(id, link.OutcomeUnknown)
	}
	w := newBoxWorld(t, lose, lose, lose, lose)
	w.ask(fakeWait)
	well.Store(true)
	for range 8 {
		if got := w.ask(fakeWait); got.Code == http.StatusOK {
			return
		}
	}
	t.Error("it is never served again")
}
