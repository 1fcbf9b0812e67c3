package entry

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/coralstair/coralstair/link"
)

// exiting reports an engine's exit for each request, and counts them.
func exiting(ends *atomic.Int64) responder {
	return func(b *fakeBox, n int, id uint64) {
		ends.Add(1)
		b.send(&link.End{ID: id, Outcome: link.OutcomeUnknown, Reason: "the engine has ended", EndedIncarnation: fmt.Sprintf("%s#%d", b.member.ID, n)})
	}
}

// TestEnginesEndUnderARequest checks that a request under which three engines have exited is sent to no more boxes.
func TestEnginesEndUnderARequest(t *testing.T) {
	t.Parallel()
	var ends atomic.Int64
	env := newTestEnv(t, exiting(&ends), exiting(&ends), exiting(&ends), exiting(&ends), exiting(&ends), exiting(&ends))
	for n := range 4 {
		got := env.request(testTimeout)
		want, outcome := http.StatusServiceUnavailable, "not-run"
		if n == 0 {
			want, outcome = http.StatusBadGateway, "unknown"
		}
		if got.Code != want || got.Header().Get(HeaderOutcome) != outcome {
			t.Errorf("request %d: status %d, outcome %s", n+1, got.Code, got.Header().Get(HeaderOutcome))
		}
	}
	if n := ends.Load(); n != 3 {
		t.Errorf("%d engines exited, want 3", n)
	}
}

// TestLostLinksHoldNothing checks that a request whose responses are lost is not quarantined if no engine exited.
func TestLostLinksHoldNothing(t *testing.T) {
	t.Parallel()
	var recovered atomic.Bool
	lose := func(b *fakeBox, n int, id uint64) {
		if recovered.Load() {
			respondOK(b, n, id)
			return
		}
		b.end(id, link.OutcomeUnknown)
	}
	env := newTestEnv(t, lose, lose, lose, lose)
	env.request(testTimeout)
	recovered.Store(true)
	for range 8 {
		if got := env.request(testTimeout); got.Code == http.StatusOK {
			return
		}
	}
	t.Error("the request is never served again")
}
