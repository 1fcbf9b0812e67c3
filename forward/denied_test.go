package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/view"
)

// TestServerThatDeniesIsLeftUntilThereIsNews proves that a server which said that it is not the one listed gets nothing more
// while the list and its box say what they said before, and gets requests again once they say something new.
func TestServerThatDeniesIsLeftUntilThereIsNews(t *testing.T) {
	denies := newFake(t, saying("HTTP/1.1 421 Misdirected Request\nId: r1\nContent-Length: 0\n\n"))
	w := newEngineWorld(t, denies.address)
	ask := func() {
		if got := w.ask(http.MethodPost, "/stream/a", "x", nil); got.status != http.StatusServiceUnavailable {
			t.Fatalf("status %d", got.status)
		}
	}
	ask()
	for range 5 {
		w.entry.upstreams.update(w.entry.cfg.View.Servers())
		w.report(0, false)
		ask()
	}
	if n := denies.arrivals(); n != 1 {
		t.Errorf("%d requests sent to a server that denies, want 1", n)
	}
	w.entry.upstreams.heard(link.Report{Server: serverName(0), Model: engineModel, Version: 2}, time.Now())
	ask()
	if n := denies.arrivals(); n != 2 {
		t.Errorf("%d requests sent, want one more once its box tells of another version", n)
	}
	listed := contract.Server{
		ID: serverName(0), Service: "s", Address: denies.address, Slots: 9, Loaded: map[string]contract.Version{engineModel: 2},
	}
	w.entry.upstreams.update([]view.Listed{{Server: listed}})
	ask()
	if n := denies.arrivals(); n != 3 {
		t.Errorf("%d requests sent, want one more once the list says something new", n)
	}
}
