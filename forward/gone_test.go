package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
)

// TestGoneServerGetsNoSecondSend checks that an unlisted server gets no request after its grace period, not even a
// retry for which no other server is left.
func TestGoneServerGetsNoSecondSend(t *testing.T) {
	fails := newFakeServer(t, respondWith("HTTP/1.1 500 Internal Server Error\nId: r1\nSeal: s\nContent-Length: 0\n\n"))
	unlisted := newFakeServer(t, respondOK)
	w := newTestEnv(t, false, fails.address, unlisted.address)
	server := func(i int, address string) contract.Server {
		return contract.Server{ID: serverName(i), Service: "s", Address: address, Slots: 4}
	}
	list := func(until time.Time) {
		w.entry.upstreams.update([]discovery.ListedServer{
			{Server: server(0, fails.address)},
			{Server: server(1, unlisted.address), MissingSince: time.Now().Add(-time.Second), GoneAt: until},
		})
	}
	list(time.Now().Add(time.Minute))
	if got := w.ask(http.MethodGet, "/safe/a", "", nil); got.status != http.StatusOK || unlisted.arrivals() != 1 {
		t.Fatalf("status %d, %d requests at the server within its grace period", got.status, unlisted.arrivals())
	}
	list(time.Now().Add(20 * time.Millisecond))
	time.Sleep(40 * time.Millisecond)
	if got := w.ask(http.MethodGet, "/safe/a", "", nil); got.status != http.StatusInternalServerError || unlisted.arrivals() != 1 {
		t.Errorf("status %d, %d requests at the server after its grace period", got.status, unlisted.arrivals())
	}
}
