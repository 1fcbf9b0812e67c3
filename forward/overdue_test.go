package forward

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/link"
)

// What was seen: a request that had been sent to a server of an older version 1.2 s before the bound on that version, and that
// waited there for a slot, began 34 ms after the bound.

// TestNothingBeginsAfterTheBoundOnItsVersion proves that a request which waits at a server of an older version is taken away from
// there before the bound, and goes on at a server of the newer one.
func TestNothingBeginsAfterTheBoundOnItsVersion(t *testing.T) {
	t.Parallel()
	var left atomic.Pointer[time.Time]
	waits := func(conn net.Conn, n int, r *http.Request) bool {
		_ = conn.SetReadDeadline(time.Now().Add(1500 * time.Millisecond))
		_, err := conn.Read(make([]byte, 1))
		if now := time.Now(); err != nil && !isTimeout(err) {
			left.Store(&now)
			return false
		}
		return streaming("a", 6, finish)(conn, n, r)
	}
	both := firstThen(waits, streaming("b", 6, finish))
	one, two := newFake(t, both), newFake(t, both)
	w := newEngineWorld(t, one.address, two.address)
	w.heard(0, link.Report{Filled: true})
	w.heard(1, link.Report{Filled: true})
	const bound = dueMargin + 100*time.Millisecond
	due := time.Now().Add(bound)
	w.entry.cfg.View.OfferTarget(contract.Target{Model: engineModel, Version: 2}, -bound)
	time.AfterFunc(300*time.Millisecond, func() {
		other := 1 - min(two.arrivals(), 1)
		w.entry.upstreams.heard(link.Report{Server: serverName(other), Model: engineModel, Version: 2}, time.Now())
	})
	got := w.ask(http.MethodPost, "/stream/a", "x", nil)
	if got.err != nil || got.body != all(6) || got.header.Get("Seal") != "b" {
		t.Errorf("status %d, seal %q, body %q, error %v", got.status, got.header.Get("Seal"), got.body, got.err)
	}
	time.Sleep(20 * time.Millisecond)
	if at := left.Load(); at == nil || at.After(due) {
		t.Errorf("it is taken away at %v, the bound is at %v", at, due)
	}
}

// What was seen: beside planned work alone two streams were answered 502. Each had waited at a server of an older version and was
// taken away from there before the bound; the next server refused it, all others were about to load, and it was given up at once.

// TestRequestTakenAwayWaitsForAPlace proves that a request which was taken away from its server looks for another one for some time.
func TestRequestTakenAwayWaitsForAPlace(t *testing.T) {
	t.Parallel()
	var arrivals atomic.Int64
	refuses := saying("HTTP/1.1 503 Full\nNot-Run: 1\nContent-Length: 0\n\n")
	answer := func(conn net.Conn, n int, r *http.Request) bool {
		switch arrivals.Add(1) {
		case 1:
			_ = conn.SetReadDeadline(time.Now().Add(1500 * time.Millisecond))
			_, _ = conn.Read(make([]byte, 1))
			return false
		case 2:
			return refuses(conn, n, r)
		default:
			return streaming("b", 6, finish)(conn, n, r)
		}
	}
	one, two := newFake(t, answer), newFake(t, answer)
	w := newEngineWorld(t, one.address, two.address)
	w.heard(0, link.Report{Filled: true})
	w.heard(1, link.Report{Filled: true})
	const bound = dueMargin + 100*time.Millisecond
	w.entry.cfg.View.OfferTarget(contract.Target{Model: engineModel, Version: 2}, -bound)
	time.AfterFunc(300*time.Millisecond, func() {
		other := 1 - min(two.arrivals(), 1)
		w.entry.upstreams.heard(link.Report{Server: serverName(other), Model: engineModel, Version: 2}, time.Now())
	})
	got := w.ask(http.MethodPost, "/stream/a", "x", nil)
	if got.err != nil || got.body != all(6) || arrivals.Load() != 3 {
		t.Errorf("status %d, body %q, error %v, %d arrivals", got.status, got.body, got.err, arrivals.Load())
	}
}
