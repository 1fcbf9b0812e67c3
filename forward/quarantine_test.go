package forward

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coralstair/coralstair/quarantine"
)

// crashingServers are fake servers that exit some time after a request whose path contains "deadly".
type crashingServers struct {
	mu    sync.Mutex
	exits int
	all   []*fakeServer
}

func newCrashingServers(t *testing.T, n int, delay time.Duration) *crashingServers {
	t.Helper()
	m := &crashingServers{}
	for range n {
		var server *fakeServer
		server = newFakeServer(t, func(conn net.Conn, n int, r *http.Request) bool {
			if !strings.Contains(r.URL.Path, "deadly") {
				return respondOK(conn, n, r)
			}
			time.Sleep(delay)
			m.mu.Lock()
			m.exits++
			m.mu.Unlock()
			server.end()
			return false
		})
		m.all = append(m.all, server)
	}
	return m
}

func (m *crashingServers) addresses() []string {
	var addresses []string
	for _, server := range m.all {
		addresses = append(addresses, server.address)
	}
	return addresses
}

func (m *crashingServers) exited() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.exits
}

// arrivals returns the number of requests at all servers.
func (m *crashingServers) arrivals() int {
	n := 0
	for _, server := range m.all {
		n += server.arrivals()
	}
	return n
}

// TestServersEndUnderARequest checks that a request during which three servers have exited is sent to no more of
// them, and that other requests are served.
func TestServersEndUnderARequest(t *testing.T) {
	for name, path := range map[string]string{"repeatable": "/safe/", "not repeatable": "/once/", "stream": "/stream/"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			servers := newCrashingServers(t, 6, 0)
			w := newTestEnv(t, false, servers.addresses()...)
			for n := range 8 {
				got := w.ask(http.MethodPost, path+"deadly", "x", nil)
				time.Sleep(2 * exitLogDelay)
				refused := got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != ""
				if n >= 3 && !refused {
					t.Errorf("send %d: status %d, want 503 with Retry-After", n+1, got.status)
				}
			}
			if ends := servers.exited(); ends != 3 || servers.arrivals() != 3 {
				t.Errorf("%d servers exited, want 3; %d arrivals", ends, servers.arrivals())
			}
			if got := w.ask(http.MethodPost, path+"other", "x", nil); got.status != http.StatusOK {
				t.Errorf("another request got status %d", got.status)
			}
		})
	}
}

// TestHeldRequestsAreTakenBack checks that attempts without a response are cancelled when their request is
// quarantined.
func TestHeldRequestsAreTakenBack(t *testing.T) {
	servers := newCrashingServers(t, 2, time.Second)
	w := newTestEnv(t, false, servers.addresses()...)
	answered := make(chan result)
	go func() { answered <- w.ask(http.MethodPost, "/safe/deadly", "x", nil) }()
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	request := quarantine.FingerprintOf("", http.MethodPost, "h", "/safe/deadly", []byte("x"))
	for _, incarnation := range []string{"1", "2", "3"} {
		w.entry.cfg.Quarantine.RecordExit(incarnation, []quarantine.Fingerprint{request})
	}
	got := <-answered
	if took := time.Since(began); got.status != http.StatusBadGateway || took > 300*time.Millisecond {
		t.Errorf("status %d after %s, want 502 at once: the request may have run", got.status, took)
	}
	if n := servers.arrivals(); n != 1 {
		t.Errorf("the request was sent to %d servers, want 1", n)
	}
}

// TestAnsweredRequestsAreNotHeld checks that a request that is still answered now and then is served despite the
// exits.
func TestAnsweredRequestsAreNotHeld(t *testing.T) {
	servers := newCrashingServers(t, 1, 0)
	w := newTestEnv(t, false, servers.addresses()...)
	request := quarantine.FingerprintOf("", http.MethodPost, "h", "/safe/popular", []byte("x"))
	for _, incarnation := range []string{"1", "2", "3", "4", "5"} {
		w.entry.cfg.Quarantine.RecordExit(incarnation, []quarantine.Fingerprint{request})
		if got := w.ask(http.MethodPost, "/safe/popular", "x", nil); got.status != http.StatusOK {
			t.Fatalf("status %d after the exit of incarnation %s", got.status, incarnation)
		}
	}
}
