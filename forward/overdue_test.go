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

// Regression: a request that waited for a slot at a server of an older version started after the deadline of that
// version.

// TestNothingBeginsAfterTheBoundOnItsVersion checks that a request waiting at a server of an older version is
// cancelled there before the deadline and moves to a server of the newer version.
func TestNothingBeginsAfterTheBoundOnItsVersion(t *testing.T) {
	t.Parallel()
	var cancelled atomic.Pointer[time.Time]
	waiting := func(conn net.Conn, n int, r *http.Request) bool {
		_ = conn.SetReadDeadline(time.Now().Add(1500 * time.Millisecond))
		_, err := conn.Read(make([]byte, 1))
		if now := time.Now(); err != nil && !isTimeout(err) {
			cancelled.Store(&now)
			return false
		}
		return streamEvents("a", 6, writeLastChunk)(conn, n, r)
	}
	both := firstThen(waiting, streamEvents("b", 6, writeLastChunk))
	one, two := newFakeServer(t, both), newFakeServer(t, both)
	w := newModelTestEnv(t, one.address, two.address)
	w.applyReport(0, link.Report{HasAllPieces: true})
	w.applyReport(1, link.Report{HasAllPieces: true})
	const untilDeadline = dispatchMargin + 100*time.Millisecond
	deadline := time.Now().Add(untilDeadline)
	w.entry.cfg.View.ObservePeerTarget(contract.Target{Model: testModel, Version: 2}, -untilDeadline)
	time.AfterFunc(300*time.Millisecond, func() {
		other := 1 - min(two.arrivals(), 1)
		w.entry.upstreams.applyReport(link.Report{Server: serverName(other), Model: testModel, Version: 2}, time.Now())
	})
	got := w.ask(http.MethodPost, "/stream/a", "x", nil)
	if got.err != nil || got.body != allEvents(6) || got.header.Get("Seal") != "b" {
		t.Errorf("status %d, seal %q, body %q, error %v", got.status, got.header.Get("Seal"), got.body, got.err)
	}
	time.Sleep(20 * time.Millisecond)
	if at := cancelled.Load(); at == nil || at.After(deadline) {
		t.Errorf("cancelled at %v, the deadline is %v", at, deadline)
	}
}

// Regression: requests cancelled before the deadline of their server's version got a 502 at once when the next server
// refused and all others were about to load.

// TestRequestTakenAwayWaitsForAPlace checks that a request cancelled at its server keeps looking for another one for
// some time.
func TestRequestTakenAwayWaitsForAPlace(t *testing.T) {
	t.Parallel()
	var arrivals atomic.Int64
	refuses := respondWith("HTTP/1.1 503 Full\nNot-Run: 1\nContent-Length: 0\n\n")
	answer := func(conn net.Conn, n int, r *http.Request) bool {
		switch arrivals.Add(1) {
		case 1:
			_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			_, _ = conn.Read(make([]byte, 1))
			return false
		case 2:
			return refuses(conn, n, r)
		default:
			return streamEvents("b", 6, writeLastChunk)(conn, n, r)
		}
	}
	one, two := newFakeServer(t, answer), newFakeServer(t, answer)
	w := newModelTestEnv(t, one.address, two.address)
	w.applyReport(0, link.Report{HasAllPieces: true})
	w.applyReport(1, link.Report{HasAllPieces: true})
	const untilDeadline = dispatchMargin + time.Second
	w.entry.cfg.View.ObservePeerTarget(contract.Target{Model: testModel, Version: 2}, -untilDeadline)
	time.AfterFunc(300*time.Millisecond, func() {
		other := 1 - min(two.arrivals(), 1)
		w.entry.upstreams.applyReport(link.Report{Server: serverName(other), Model: testModel, Version: 2}, time.Now())
	})
	got := w.ask(http.MethodPost, "/stream/a", "x", nil)
	if got.err != nil || got.body != allEvents(6) || arrivals.Load() != 3 {
		t.Errorf("status %d, body %q, error %v, %d arrivals", got.status, got.body, got.err, arrivals.Load())
	}
}

// TestRequestTakenAwaySearchesWhileItsCallerWaits guards against an unknown outcome for a request that had to leave its server, although a
// server can take it while its caller still waits.
func TestRequestTakenAwaySearchesWhileItsCallerWaits(t *testing.T) {
	const untilDeadline, freeAfter = dispatchMargin + time.Second, 4 * time.Second
	load := func(w *testEnv, server int) {
		w.entry.upstreams.applyReport(link.Report{Server: serverName(server), Model: testModel, Version: 2}, time.Now())
	}
	for name, test := range map[string]struct {
		// before is applied before the request, frees ends what keeps the servers from taking it; used is the server that had the request.
		before func(w *testEnv)
		frees  func(w *testEnv, used int)
	}{
		"another server loads the newer version": {func(*testEnv) {}, func(w *testEnv, used int) { load(w, 1-used) }},
		"its own server loads the newer version": {func(*testEnv) {}, load},
		"the retry budget is exhausted at first": {
			func(w *testEnv) { w.entry.budget.SetAllowance(0, 0) },
			func(w *testEnv, used int) {
				w.entry.budget.SetAllowance(0.2, 100)
				load(w, 1-used)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			waits := func(conn net.Conn, _ int, _ *http.Request) bool {
				_, _ = conn.Read(make([]byte, 1))
				return false
			}
			both := firstThen(waits, streamEvents("b", 6, writeLastChunk))
			one, two := newFakeServer(t, both), newFakeServer(t, both)
			w := newModelTestEnv(t, one.address, two.address)
			w.applyReport(0, link.Report{HasAllPieces: true})
			w.applyReport(1, link.Report{HasAllPieces: true})
			w.entry.cfg.View.ObservePeerTarget(contract.Target{Model: testModel, Version: 2}, -untilDeadline)
			test.before(w)
			time.AfterFunc(freeAfter, func() { test.frees(w, min(two.arrivals(), 1)) })
			got := w.ask(http.MethodPost, "/stream/long/a", "x", nil)
			if got.err != nil || got.body != allEvents(6) {
				t.Errorf("status %d, body %q, error %v", got.status, got.body, got.err)
			}
		})
	}
}

// TestRequestLeavesTwoServers guards against an unknown outcome for a request that had to leave two servers while it waited there, as
// versions were named in quick succession.
func TestRequestLeavesTwoServers(t *testing.T) {
	t.Parallel()
	var arrivals atomic.Int64
	answer := func(conn net.Conn, n int, r *http.Request) bool {
		if arrivals.Add(1) > 2 {
			return streamEvents("b", 6, writeLastChunk)(conn, n, r)
		}
		_, _ = conn.Read(make([]byte, 1))
		return false
	}
	one, two := newFakeServer(t, answer), newFakeServer(t, answer)
	w := newModelTestEnv(t, one.address, two.address)
	name := func(version contract.Version, deadline time.Duration) {
		w.entry.cfg.View.ObservePeerTarget(contract.Target{Model: testModel, Version: version}, -deadline)
	}
	load := func(server int, version int64) {
		w.entry.upstreams.applyReport(link.Report{Server: serverName(server), Model: testModel, Version: version, HasAllPieces: true}, time.Now())
	}
	w.applyReport(0, link.Report{HasAllPieces: true})
	w.applyReport(1, link.Report{HasAllPieces: true})
	name(2, 2*time.Second)
	time.AfterFunc(time.Second, func() { name(3, 3*time.Second) })
	time.AfterFunc(2500*time.Millisecond, func() { load(1-min(two.arrivals(), 1), 2) })
	time.AfterFunc(4500*time.Millisecond, func() { load(0, 3) })
	got := w.ask(http.MethodPost, "/stream/long/a", "x", nil)
	if got.err != nil || got.body != allEvents(6) || arrivals.Load() != 3 {
		t.Errorf("status %d, body %q, error %v, %d arrivals", got.status, got.body, got.err, arrivals.Load())
	}
}
