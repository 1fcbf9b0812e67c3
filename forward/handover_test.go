package forward

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// What callers saw: beside planned work (a new version, a change of the configuration) streams broke off in the middle of an
// answer, and nothing told why. The order of events: the box of a server says that it closes to load a version; the entry ends
// the stream there, though the server was well, and asks another for the rest; that one had got its own order to load 5 ms
// before and says that it does not run it; the refusal has used up the attempts of the route, so the caller's connection is
// closed. The cause: an answer was given up before anything else held it. The evidence: all seven cut streams of one day had
// these two tries, and the log of the box beside the second server has the order to load right before.

// refusing is a server that runs nothing.
var refusing = saying("HTTP/1.1 503 No\nId: r1\nNot-Run: 1\nContent-Length: 0\n\n")

// slowly streams one event each pause, up to one.
func slowly(seal string, to int, pause time.Duration) answering {
	return streaming(seal, 0, func(conn net.Conn) {
		for i := 1; i <= to; i++ {
			time.Sleep(pause)
			events(conn, i, i)
		}
		finish(conn)
	})
}

// dumb answers after so long with all events.
func dumb(seal string, after time.Duration) answering {
	return func(conn net.Conn, n int, r *http.Request) bool {
		time.Sleep(after)
		return streaming(seal, 6, finish)(conn, n, r)
	}
}

// TestNothingIsGivenUpBeforeAnotherHoldsIt proves that a request stays with its server, as long as that one is at work, until
// another server has begun to answer it.
func TestNothingIsGivenUpBeforeAnotherHoldsIt(t *testing.T) {
	const pause = 150 * time.Millisecond
	for name, test := range map[string]struct {
		first, second answering
		// closes says that the box of the first server says so after 100 ms.
		closes bool
		seal   string
	}{
		"the next server refuses the rest of a stream":        {first: slowly("a", 6, pause), second: refusing, closes: true, seal: "a"},
		"the next server breaks off":                          {first: slowly("a", 6, pause), second: streaming("b", 0, breaks), closes: true, seal: "a"},
		"the next server says nothing":                        {first: slowly("a", 6, pause), second: dumb("b", 2*time.Second), closes: true, seal: "a"},
		"the next server refuses what has no event yet":       {first: dumb("a", 900*time.Millisecond), second: refusing, closes: true, seal: "a"},
		"the first event comes late, others refuse":           {first: dumb("a", 1400*time.Millisecond), second: refusing, seal: "a"},
		"a pause is long, others refuse":                      {first: pausing("a", 3, 6, 1400*time.Millisecond), second: refusing, seal: "a"},
		"the first event comes late, another is quicker":      {first: dumb("a", 2500*time.Millisecond), second: streaming("b", 6, finish), seal: "b"},
		"the stream is over before the next server has begun": {first: slowly("a", 6, 100*time.Millisecond), second: dumb("b", time.Second), closes: true, seal: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			both := firstThen(test.first, test.second)
			one, two := newFake(t, both), newFake(t, both)
			w := newEngineWorld(t, one.address, two.address)
			if test.closes {
				time.AfterFunc(100*time.Millisecond, func() { w.report(min(two.arrivals(), 1), true) })
			}
			got := w.ask(http.MethodPost, "/stream/a", "x", nil)
			if got.status != http.StatusOK || got.err != nil || got.body != all(6) || got.header.Get("Seal") != test.seal {
				t.Errorf("status %d, seal %q, body %q, error %v", got.status, got.header.Get("Seal"), got.body, got.err)
			}
		})
	}
}

// TestLateWholeAnswer proves the same of an answer that is not a stream.
func TestLateWholeAnswer(t *testing.T) {
	t.Parallel()
	late := func(conn net.Conn, n int, r *http.Request) bool {
		time.Sleep(1400 * time.Millisecond)
		return good(conn, n, r)
	}
	both := firstThen(late, refusing)
	one, two := newFake(t, both), newFake(t, both)
	w := newWorld(t, false, one.address, two.address)
	if got := w.ask(http.MethodGet, "/safe/a", "", nil); got.status != http.StatusOK || got.body != "hello" {
		t.Errorf("status %d, body %q, error %v", got.status, got.body, got.err)
	}
}

// TestRefusalsUseUpNoAttempt proves that a server that did not run a request does not count as one that it went to.
func TestRefusalsUseUpNoAttempt(t *testing.T) {
	for name, first := range map[string]answering{
		"a stream that breaks off":      streaming("a", 3, breaks),
		"a request that gets no answer": func(conn net.Conn, _ int, _ *http.Request) bool { return reset(conn) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			each := firstThen(first, firstThen(refusing, streaming("b", 6, finish)))
			a, b, c := newFake(t, each), newFake(t, each), newFake(t, each)
			w := newEngineWorld(t, a.address, b.address, c.address)
			got := w.ask(http.MethodPost, "/stream/a", "x", nil)
			if got.status != http.StatusOK || got.err != nil || got.body != all(6) {
				t.Errorf("status %d, body %q, error %v", got.status, got.body, got.err)
			}
		})
	}
}

// TestSecondSendAfterASilenceTakesANewConnection proves that a request whose connection has gone silent is not sent on another
// kept one, which may be silent too: all that were open may go silent at once, while new ones work.
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
		return good(conn, n, r)
	}
	one, two := newFake(t, answer), newFake(t, answer)
	w := newWorld(t, false, one.address, two.address)
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
