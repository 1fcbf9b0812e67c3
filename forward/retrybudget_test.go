package forward

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// TestLostRequestIsRetriedAfterManyRefusals guards against an unknown outcome because retries of refused requests, which
// are sure not to have run, used up the budget.
func TestLostRequestIsRetriedAfterManyRefusals(t *testing.T) {
	const refusedRequests = 150
	var lost atomic.Bool
	refuse := respondWith("HTTP/1.1 503 Full\nId: r1\nNot-Run: 1\nContent-Length: 0\n\n")
	answer := func(conn net.Conn, n int, r *http.Request) bool {
		switch {
		case strings.HasPrefix(r.URL.Path, "/once/"):
			return refuse(conn, n, r)
		case lost.CompareAndSwap(false, true):
			return false
		default:
			return respondOK(conn, n, r)
		}
	}
	w := newTestEnv(t, false, newFakeServer(t, answer).address, newFakeServer(t, answer).address)
	for range refusedRequests {
		w.ask(http.MethodPost, "/once/a", "x", nil)
	}
	if got := w.ask(http.MethodGet, "/safe/a", "", nil); got.status != http.StatusOK {
		t.Errorf("a request whose connection was lost got status %d, want 200", got.status)
	}
}
