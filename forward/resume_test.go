package forward

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/coralstair/coralstair/clock"
)

// TestSuspendedRequestsEndInTime checks that a request ends at the caller's deadline after the machine was suspended.
func TestSuspendedRequestsEndInTime(t *testing.T) {
	for name, test := range map[string]struct{ suspended, most time.Duration }{
		"past the deadline":   {3 * time.Second, 100 * time.Millisecond},
		"before the deadline": {time.Second, 1100 * time.Millisecond},
		"no suspension":       {0, 2100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, func(net.Conn, int, *http.Request) bool { time.Sleep(4 * time.Second); return false })
			w := newTestEnv(t, false, server.address)
			time.AfterFunc(200*time.Millisecond, func() {
				clock.Advance(test.suspended)
				t.Cleanup(func() { clock.Advance(-test.suspended) })
				w.entry.Resumed()
			})
			began := time.Now()
			got := w.ask(http.MethodPost, "/once/a", "x", nil)
			if took := time.Since(began); got.status != http.StatusGatewayTimeout || took > 200*time.Millisecond+test.most {
				t.Errorf("status %d after %s", got.status, took)
			}
		})
	}
}

// TestSecondSendsHaveTheTimeThatIsLeft checks that a retry sends the server only the remaining time after a
// suspension.
func TestSecondSendsHaveTheTimeThatIsLeft(t *testing.T) {
	lost := func(conn net.Conn, _ int, _ *http.Request) bool {
		time.Sleep(100 * time.Millisecond)
		clock.Advance(time.Second)
		t.Cleanup(func() { clock.Advance(-time.Second) })
		return reset(conn)
	}
	both := firstThen(lost, respondOK)
	one, two := newFakeServer(t, both), newFakeServer(t, both)
	w := newTestEnv(t, false, one.address, two.address)
	if got := w.ask(http.MethodPost, "/safe/a", "x", map[string]string{"Wait": "2500"}); got.status != http.StatusOK {
		t.Fatalf("status %d", got.status)
	}
	var waits []string
	for _, server := range []*fakeServer{one, two} {
		for _, r := range server.requests {
			waits = append(waits, r.Header.Get("Wait"))
		}
	}
	if len(waits) != 2 || len(waits[0]) != 4 || len(waits[1]) != 4 || min(waits[0], waits[1]) > "1400" {
		t.Errorf("servers got timeouts of %q ms", waits)
	}
}

// TestResumptionKeepsToTheAttemptsOfTheRoute guards against streams that run on more servers than their route permits.
func TestResumptionKeepsToTheAttemptsOfTheRoute(t *testing.T) {
	const events = "HTTP/1.1 200 OK\nId: r1\nSeal: s\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n"
	for name, test := range map[string]struct {
		path     string
		arrivals int
		whole    bool
	}{
		"one server":  {"/stream/single/a", 1, false},
		"two servers": {"/stream/a", 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			respond := firstThen(
				func(conn net.Conn, _ int, _ *http.Request) bool {
					writeRaw(conn, events+"12\nid: 1\ndata: x\n\n")
					return false
				},
				respondWith(events+"12\nid: 2\ndata: y\n\n\n0\n\n"),
			)
			one, two := newFakeServer(t, respond), newFakeServer(t, respond)
			w := newTestEnv(t, false, one.address, two.address)
			got := w.ask(http.MethodPost, test.path, "x", nil)
			if n := one.arrivals() + two.arrivals(); n != test.arrivals || (got.err == nil) != test.whole {
				t.Errorf("%d servers, want %d; body %q, error %v", n, test.arrivals, got.body, got.err)
			}
		})
	}
}
