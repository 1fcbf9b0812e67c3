package forward

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/coralstair/coralstair/admission"
	"github.com/coralstair/coralstair/link"
)

// TestReturnsComeBehindFirstTries proves that a caller that returns to servers without room is refused while a first try is let
// in, however long either says that it waits, and let in when no first try is refused.
func TestReturnsComeBehindFirstTries(t *testing.T) {
	server := newFake(t, streaming("s", 1, finish))
	w := newEngineWorld(t, server.address)
	ask := func(body string, wait time.Duration) int {
		headers := map[string]string{"Wait": strconv.FormatInt(wait.Milliseconds(), 10)}
		return w.ask(http.MethodPost, "/stream/a", body, headers).status
	}
	busy := func(waiting int) {
		w.entry.upstreams.heard(link.Report{
			Server: serverName(0), Model: engineModel, Version: 1, Running: 8, Waiting: waiting,
		}, time.Now())
	}
	busy(14)
	if first, less := ask("x", 6*time.Second), ask("y", 5*time.Second); first == http.StatusServiceUnavailable || less == http.StatusServiceUnavailable {
		t.Fatalf("status %d and %d of first tries while there is room", first, less)
	}
	busy(200)
	began := time.Now()
	for i := range 40 {
		if got := ask("refused"+strconv.Itoa(i), 6*time.Second); got != http.StatusServiceUnavailable {
			t.Fatalf("status %d of a first try without any room", got)
		}
	}
	time.Sleep(100 * time.Millisecond)
	busy(14)
	if got := ask("refused0", 6*time.Second-time.Since(began)); got != http.StatusServiceUnavailable {
		t.Errorf("status %d of a return while first tries are refused", got)
	}
	if got := ask("z", 5*time.Second); got == http.StatusServiceUnavailable {
		t.Error("a first try of a caller that waits less is refused with the returns")
	}
}

// TestSiblingsKnowWhatWasRefused proves that the other entries of a site know a request that one of them refused.
func TestSiblingsKnowWhatWasRefused(t *testing.T) {
	rs := newReaders(t, 3)
	now := time.Now()
	refusal := admission.Refusal{Print: 7, First: now, Ends: now.Add(5 * time.Second)}
	for _, e := range rs.entries {
		go func() { _ = e.siblings.serve(t.Context()) }()
	}
	rs.entries[0].siblings.refused(refusal, now)
	for i, e := range rs.entries {
		known := false
		for deadline := now.Add(2 * time.Second); !known && time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
			_, known = e.returns.Take(refusal.Print, refusal.Ends, time.Now())
		}
		if !known {
			t.Errorf("entry %d does not know it", i)
		}
	}
}
