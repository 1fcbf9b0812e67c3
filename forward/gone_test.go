package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/view"
)

// TestGoneServerGetsNoSecondSend proves that a server that is no longer listed gets nothing once its grace is over, not even as
// the last one left for a second send, though the list was not taken in again since.
func TestGoneServerGetsNoSecondSend(t *testing.T) {
	fails := newFake(t, saying("HTTP/1.1 500 Internal Server Error\nId: r1\nSeal: s\nContent-Length: 0\n\n"))
	leaves := newFake(t, good)
	w := newWorld(t, false, fails.address, leaves.address)
	server := func(i int, address string) contract.Server {
		return contract.Server{ID: serverName(i), Service: "s", Address: address, Slots: 4}
	}
	list := func(until time.Time) {
		w.entry.upstreams.update([]view.Listed{
			{Server: server(0, fails.address)},
			{Server: server(1, leaves.address), Missing: time.Now().Add(-time.Second), Until: until},
		})
	}
	list(time.Now().Add(time.Minute))
	if got := w.ask(http.MethodGet, "/safe/a", "", nil); got.status != http.StatusOK || leaves.arrivals() != 1 {
		t.Fatalf("status %d, %d requests at the server that may have lapsed only", got.status, leaves.arrivals())
	}
	list(time.Now().Add(20 * time.Millisecond))
	time.Sleep(40 * time.Millisecond)
	if got := w.ask(http.MethodGet, "/safe/a", "", nil); got.status != http.StatusInternalServerError || leaves.arrivals() != 1 {
		t.Errorf("status %d, %d requests at the server that is gone", got.status, leaves.arrivals())
	}
}
