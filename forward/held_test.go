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

// mortals are servers of a test, which end when they run a request whose path says so, some time after it has come.
type mortals struct {
	mu   sync.Mutex
	ends int
	all  []*fake
}

// newMortals starts servers.
func newMortals(t *testing.T, n int, life time.Duration) *mortals {
	t.Helper()
	m := &mortals{}
	for range n {
		var server *fake
		server = newFake(t, func(conn net.Conn, n int, r *http.Request) bool {
			if !strings.Contains(r.URL.Path, "deadly") {
				return good(conn, n, r)
			}
			time.Sleep(life)
			m.mu.Lock()
			m.ends++
			m.mu.Unlock()
			server.end()
			return false
		})
		m.all = append(m.all, server)
	}
	return m
}

func (m *mortals) addresses() []string {
	var addresses []string
	for _, server := range m.all {
		addresses = append(addresses, server.address)
	}
	return addresses
}

// ended returns how many of them have ended.
func (m *mortals) ended() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ends
}

// arrivals returns how many requests came to all of them.
func (m *mortals) arrivals() int {
	n := 0
	for _, server := range m.all {
		n += server.arrivals()
	}
	return n
}

// TestServersEndUnderARequest proves that a request under which three servers have ended goes to no more of them, whether it may
// run twice, and that all others are served.
func TestServersEndUnderARequest(t *testing.T) {
	for name, path := range map[string]string{"one that may run twice": "/safe/", "one that may not": "/once/", "a stream": "/stream/"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			servers := newMortals(t, 6, 0)
			w := newWorld(t, false, servers.addresses()...)
			for n := range 8 {
				got := w.ask(http.MethodPost, path+"deadly", "x", nil)
				time.Sleep(2 * endGather)
				held := got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != ""
				if n >= 3 && !held {
					t.Errorf("the %d. time: status %d", n+1, got.status)
				}
			}
			if ends := servers.ended(); ends != 3 || servers.arrivals() != 3 {
				t.Errorf("%d servers ended, want 3; %d arrivals", ends, servers.arrivals())
			}
			if got := w.ask(http.MethodPost, path+"other", "x", nil); got.status != http.StatusOK {
				t.Errorf("another request: status %d", got.status)
			}
		})
	}
}

// TestHeldRequestsAreTakenBack proves that a request that waits at servers when it is held is taken away from there.
func TestHeldRequestsAreTakenBack(t *testing.T) {
	servers := newMortals(t, 2, time.Second)
	w := newWorld(t, false, servers.addresses()...)
	answered := make(chan result)
	go func() { answered <- w.ask(http.MethodPost, "/safe/deadly", "x", nil) }()
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	request := quarantine.FingerprintOf("", http.MethodPost, "h", "/safe/deadly", []byte("x"))
	for _, life := range []string{"1", "2", "3"} {
		w.entry.cfg.Quarantine.Ended(life, []quarantine.Fingerprint{request})
	}
	got := <-answered
	if took := time.Since(began); got.status != http.StatusBadGateway || took > 300*time.Millisecond {
		t.Errorf("status %d after %s, want 502 at once: it may have run", got.status, took)
	}
	if n := servers.arrivals(); n != 1 {
		t.Errorf("it came to %d servers", n)
	}
}

// TestAnsweredRequestsAreNotHeld proves that a request that was at servers as they ended, and is answered now and then, is served.
func TestAnsweredRequestsAreNotHeld(t *testing.T) {
	servers := newMortals(t, 1, 0)
	w := newWorld(t, false, servers.addresses()...)
	request := quarantine.FingerprintOf("", http.MethodPost, "h", "/safe/popular", []byte("x"))
	for _, life := range []string{"1", "2", "3", "4", "5"} {
		w.entry.cfg.Quarantine.Ended(life, []quarantine.Fingerprint{request})
		if got := w.ask(http.MethodPost, "/safe/popular", "x", nil); got.status != http.StatusOK {
			t.Fatalf("status %d after the end of life %s", got.status, life)
		}
	}
}
