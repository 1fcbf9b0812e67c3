package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/coralstair/coralstair/link"
)

// TestReturnsComeBehindFirstTries proves that a caller that returns to servers without room is refused while a first try is let
// in, and let in when no first try is refused.
func TestReturnsComeBehindFirstTries(t *testing.T) {
	server := newFake(t, streaming("s", 1, finish))
	w := newEngineWorld(t, server.address)
	ask := func(wait string) int {
		return w.ask(http.MethodPost, "/stream/a", "x", map[string]string{"Wait": wait}).status
	}
	busy := func(waiting int) {
		w.entry.upstreams.heard(link.Report{
			Server: serverName(0), Model: engineModel, Version: 1, Running: 8, Waiting: waiting,
		}, time.Now())
	}
	busy(14)
	if first, back := ask("6000"), ask("5000"); first == http.StatusServiceUnavailable || back == http.StatusServiceUnavailable {
		t.Fatalf("status %d and %d of a first try and a return while there is room", first, back)
	}
	busy(200)
	for range 40 {
		if got := ask("6000"); got != http.StatusServiceUnavailable {
			t.Fatalf("status %d of a first try without any room", got)
		}
	}
	busy(14)
	if got := ask("5000"); got != http.StatusServiceUnavailable {
		t.Errorf("status %d of a return while first tries are refused", got)
	}
	if got := ask("6000"); got == http.StatusServiceUnavailable {
		t.Error("a first try is refused with the returns")
	}
}
