package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/link"
)

// TestServerThatDeniesIsLeftUntilThereIsNews checks that a server that responded with 421 gets no request until the
// list or its box reports a change.
func TestServerThatDeniesIsLeftUntilThereIsNews(t *testing.T) {
	misdirects := newFakeServer(t, respondWith("HTTP/1.1 421 Misdirected Request\nId: r1\nContent-Length: 0\n\n"))
	w := newModelTestEnv(t, misdirects.address)
	ask := func() {
		if got := w.ask(http.MethodPost, "/stream/a", "x", nil); got.status != http.StatusServiceUnavailable {
			t.Fatalf("status %d", got.status)
		}
	}
	ask()
	for range 5 {
		w.entry.upstreams.update(w.entry.cfg.View.Servers())
		w.reportClosing(0, false)
		ask()
	}
	if n := misdirects.arrivals(); n != 1 {
		t.Errorf("%d requests sent to a server that responded 421, want 1", n)
	}
	w.entry.upstreams.applyReport(link.Report{Server: serverName(0), Model: testModel, Version: 2}, time.Now())
	ask()
	if n := misdirects.arrivals(); n != 2 {
		t.Errorf("%d requests sent, want one more once its box reports another version", n)
	}
	listed := contract.Server{
		ID: serverName(0), Service: "s", Address: misdirects.address, Slots: 9, Loaded: map[string]contract.Version{testModel: 2},
	}
	w.entry.upstreams.update([]discovery.ListedServer{{Server: listed}})
	ask()
	if n := misdirects.arrivals(); n != 3 {
		t.Errorf("%d requests sent, want one more once its list entry changes", n)
	}
}
