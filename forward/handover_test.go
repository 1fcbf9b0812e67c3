package forward

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Regression: streams were cut while servers loaded a new version, because an attempt was given up before another
// server had begun to respond, and the server tried next refused.

// refuseNotRun refuses every request without running it.
var refuseNotRun = respondWith("HTTP/1.1 503 No\nId: r1\nNot-Run: 1\nContent-Length: 0\n\n")

// paced streams one event after each pause.
func paced(seal string, to int, pause time.Duration) responder {
	return streamEvents(seal, 0, func(conn net.Conn) {
		for i := 1; i <= to; i++ {
			time.Sleep(pause)
			writeEvents(conn, i, i)
		}
		writeLastChunk(conn)
	})
}

// delayed sends all events after a delay.
func delayed(seal string, after time.Duration) responder {
	return func(conn net.Conn, n int, r *http.Request) bool {
		time.Sleep(after)
		return streamEvents(seal, 6, writeLastChunk)(conn, n, r)
	}
}

// TestNothingIsGivenUpBeforeAnotherHoldsIt checks that a request stays with a working server until another one has
// begun to respond.
func TestNothingIsGivenUpBeforeAnotherHoldsIt(t *testing.T) {
	const pause = 150 * time.Millisecond
	for name, test := range map[string]struct {
		first, second responder
		// closes has the first server's box report closing after 100 ms.
		closes bool
		seal   string
	}{
		"second server refuses the rest of a stream":    {first: paced("a", 6, pause), second: refuseNotRun, closes: true, seal: "a"},
		"second server breaks off":                      {first: paced("a", 6, pause), second: streamEvents("b", 0, breakOff), closes: true, seal: "a"},
		"second server is silent":                       {first: paced("a", 6, pause), second: delayed("b", 2*time.Second), closes: true, seal: "a"},
		"second server refuses before the first event":  {first: delayed("a", 900*time.Millisecond), second: refuseNotRun, closes: true, seal: "a"},
		"late first event, others refuse":               {first: delayed("a", 1400*time.Millisecond), second: refuseNotRun, seal: "a"},
		"long pause, others refuse":                     {first: streamWithPause("a", 3, 6, 1400*time.Millisecond), second: refuseNotRun, seal: "a"},
		"late first event, another responds first":      {first: delayed("a", 2500*time.Millisecond), second: streamEvents("b", 6, writeLastChunk), seal: "b"},
		"stream ends before the second server responds": {first: paced("a", 6, 100*time.Millisecond), second: delayed("b", time.Second), closes: true, seal: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			both := firstThen(test.first, test.second)
			one, two := newFakeServer(t, both), newFakeServer(t, both)
			w := newModelTestEnv(t, one.address, two.address)
			if test.closes {
				time.AfterFunc(100*time.Millisecond, func() { w.reportClosing(min(two.arrivals(), 1), true) })
			}
			got := w.ask(http.MethodPost, "/stream/a", "x", nil)
			if got.status != http.StatusOK || got.err != nil || got.body != allEvents(6) || got.header.Get("Seal") != test.seal {
				t.Errorf("status %d, seal %q, body %q, error %v", got.status, got.header.Get("Seal"), got.body, got.err)
			}
		})
	}
}

// TestLateWholeAnswer checks that a late response that is not a stream is relayed although the server tried meanwhile
// refuses.
func TestLateWholeAnswer(t *testing.T) {
	t.Parallel()
	late := func(conn net.Conn, n int, r *http.Request) bool {
		time.Sleep(1400 * time.Millisecond)
		return respondOK(conn, n, r)
	}
	both := firstThen(late, refuseNotRun)
	one, two := newFakeServer(t, both), newFakeServer(t, both)
	w := newTestEnv(t, false, one.address, two.address)
	if got := w.ask(http.MethodGet, "/safe/a", "", nil); got.status != http.StatusOK || got.body != "hello" {
		t.Errorf("status %d, body %q, error %v", got.status, got.body, got.err)
	}
}

// TestRefusalsUseUpNoAttempt checks that a server that did not run a request does not count as an attempt.
func TestRefusalsUseUpNoAttempt(t *testing.T) {
	for name, first := range map[string]responder{
		"stream breaks off": streamEvents("a", 3, breakOff),
		"no response":       func(conn net.Conn, _ int, _ *http.Request) bool { return reset(conn) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			each := firstThen(first, firstThen(refuseNotRun, streamEvents("b", 6, writeLastChunk)))
			a, b, c := newFakeServer(t, each), newFakeServer(t, each), newFakeServer(t, each)
			w := newModelTestEnv(t, a.address, b.address, c.address)
			got := w.ask(http.MethodPost, "/stream/a", "x", nil)
			if got.status != http.StatusOK || got.err != nil || got.body != allEvents(6) {
				t.Errorf("status %d, body %q, error %v", got.status, got.body, got.err)
			}
		})
	}
}

// TestSecondSendAfterASilenceTakesANewConnection checks that a retry after a silence opens a new connection: the
// other open ones may be dead too.
func TestSecondSendAfterASilenceTakesANewConnection(t *testing.T) {
	t.Parallel()
	var silent atomic.Bool
	used := make(map[net.Conn]bool)
	var mu sync.Mutex
	answer := func(conn net.Conn, n int, r *http.Request) bool {
		mu.Lock()
		kept := used[conn]
		used[conn] = true
		mu.Unlock()
		if kept && silent.Load() {
			time.Sleep(5 * time.Second)
			return false
		}
		return respondOK(conn, n, r)
	}
	one, two := newFakeServer(t, answer), newFakeServer(t, answer)
	w := newTestEnv(t, false, one.address, two.address)
	for range 20 {
		if got := w.ask(http.MethodGet, "/safe/a", "", nil); got.status != http.StatusOK {
			t.Fatalf("status %d", got.status)
		}
	}
	silent.Store(true)
	if got := w.ask(http.MethodGet, "/safe/a", "", nil); got.status != http.StatusOK || got.body != "hello" {
		t.Errorf("status %d, body %q, error %v", got.status, got.body, got.err)
	}
}
