package forward

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/coralstair/coralstair/discovery"
)

// respondOncePerConn answers the first request on each connection and closes the connection on the second, as if the process that had
// accepted it had ended.
func respondOncePerConn() responder {
	var used sync.Map
	return func(conn net.Conn, n int, r *http.Request) bool {
		if _, again := used.LoadOrStore(conn, true); again {
			return false
		}
		return respondOK(conn, n, r)
	}
}

// TestNextServerAtAnAddressGetsNewConnections guards against requests that are lost on a connection to the server which had the address
// before.
func TestNextServerAtAnAddressGetsNewConnections(t *testing.T) {
	for name, test := range map[string]struct {
		id   string
		born int64
	}{
		"another server":          {"another", 20},
		"restarted under its ID":  {serverName(0), 20},
		"another without a start": {"another", 0},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, respondOncePerConn())
			w := newTestEnv(t, false, server.address)
			w.entry.upstreams.update([]discovery.ListedServer{w.listedBorn(0, 10)})
			if got := w.ask(http.MethodPost, "/once/a", "x", nil); got.status != http.StatusOK {
				t.Fatalf("status %d", got.status)
			}
			next := w.listedBorn(0, test.born)
			next.ID = test.id
			w.entry.upstreams.update([]discovery.ListedServer{next})
			if got := w.ask(http.MethodPost, "/once/b", "x", nil); got.status != http.StatusOK {
				t.Errorf("status %d, body %q", got.status, got.body)
			}
		})
	}
}

// TestOnceRequestsAvoidIdleConnections guards against requests that can't be repeated being lost on a connection that its server closes
// because it was idle.
func TestOnceRequestsAvoidIdleConnections(t *testing.T) {
	const pause = unannouncedIdle + 100*time.Millisecond
	for name, test := range map[string]struct {
		path  string
		pause time.Duration
		conns int
	}{
		"once, busy connection":        {"/once/a", 0, 1},
		"once, idle connection":        {"/once/a", pause, 2},
		"repeatable, idle connection":  {"/safe/a", pause, 1},
		"stream once, idle connection": {"/stream/once/a", pause, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newFakeServer(t, respondOK)
			w := newTestEnv(t, false, server.address)
			for range 2 {
				if got := w.ask(http.MethodPost, test.path, "x", nil); got.status != http.StatusOK {
					t.Fatalf("status %d, body %q", got.status, got.body)
				}
				time.Sleep(test.pause)
			}
			server.mu.Lock()
			defer server.mu.Unlock()
			if len(server.conns) != test.conns {
				t.Errorf("%d connections, want %d", len(server.conns), test.conns)
			}
		})
	}
}

// TestServerClosesAnIdleConnection checks that a request which can't be repeated is served although its server closes idle connections
// when the next request comes.
func TestServerClosesAnIdleConnection(t *testing.T) {
	server := newFakeServer(t, respondOncePerConn())
	w := newTestEnv(t, false, server.address)
	for range 2 {
		if got := w.ask(http.MethodPost, "/once/a", "x", nil); got.status != http.StatusOK {
			t.Errorf("status %d, body %q", got.status, got.body)
		}
		time.Sleep(unannouncedIdle + 100*time.Millisecond)
	}
}
