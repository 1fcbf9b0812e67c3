package forward

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/link"
)

// priorities records the priorities of requests that arrive at servers.
type priorities struct {
	mu   sync.Mutex
	seen []string
}

// recorded records a request's priority before it is answered.
func (p *priorities) recorded(answer responder) responder {
	return func(conn net.Conn, n int, r *http.Request) bool {
		p.mu.Lock()
		p.seen = append(p.seen, r.Header.Get("Rank"))
		p.mu.Unlock()
		return answer(conn, n, r)
	}
}

func (p *priorities) last() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.seen) == 0 {
		return ""
	}
	return p.seen[len(p.seen)-1]
}

func TestMove(t *testing.T) {
	long := 1500 * time.Millisecond
	for name, test := range map[string]struct {
		path  string
		first responder
		// alone has the other server close too; opens is when it takes requests again.
		alone bool
		opens time.Duration
		// closes is the time until the other server closes to load.
		closes time.Duration
		seal   string
		moved  bool
	}{
		"stream moves": {path: "/stream/a", first: streamWithPause("a", 3, 6, long), seal: "a", moved: true},
		"request without an event restarts": {path: "/stream/a", first: func(conn net.Conn, n int, r *http.Request) bool {
			time.Sleep(long)
			return streamEvents("a", 6, writeLastChunk)(conn, n, r)
		}, seal: "b", moved: true},
		"no other server": {path: "/stream/a", first: streamWithPause("a", 3, 6, 400*time.Millisecond), alone: true, seal: "a"},
		"server found later": {
			path: "/stream/a", first: streamWithPause("a", 3, 6, 750*time.Millisecond), alone: true, opens: 450 * time.Millisecond,
			seal: "a", moved: true,
		},
		"other server closes too soon": {
			path: "/stream/a", first: streamWithPause("a", 3, 6, 700*time.Millisecond), closes: minTurnLead + moveDelay/2, seal: "a",
		},
		"other server closes later": {
			path: "/stream/a", first: streamWithPause("a", 3, 6, 700*time.Millisecond), closes: minTurnLead + 2*moveDelay, seal: "a", moved: true,
		},
		"not repeatable": {path: "/stream/once/a", first: streamWithPause("a", 3, 6, 400*time.Millisecond), seal: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var seen priorities
			both := firstThen(seen.recorded(test.first), seen.recorded(streamEvents("b", 6, writeLastChunk)))
			one, two := newFakeServer(t, both), newFakeServer(t, both)
			w := newModelTestEnv(t, one.address, two.address)
			go func() {
				for one.arrivals()+two.arrivals() == 0 {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(100 * time.Millisecond)
				asked := 0
				if two.arrivals() > 0 {
					asked = 1
				}
				w.reportClosing(asked, true)
				w.applyReport(1-asked, link.Report{Closing: test.alone, ClosesIn: test.closes})
				if test.opens > 0 {
					time.AfterFunc(test.opens, func() { w.reportClosing(1-asked, false) })
				}
			}()
			got := w.ask(http.MethodPost, test.path, "x", nil)
			if got.status != http.StatusOK || got.err != nil || got.body != allEvents(6) || got.header.Get("Seal") != test.seal {
				t.Errorf("status %d, seal %q, body %q, error %v", got.status, got.header.Get("Seal"), got.body, got.err)
			}
			if moved := one.arrivals()+two.arrivals() == 2; moved != test.moved {
				t.Errorf("moved %t, want %t", moved, test.moved)
			}
			if got := seen.last(); test.moved && got != strconv.Itoa(topPriority) {
				t.Errorf("moved with priority %s, want %d", got, topPriority)
			}
		})
	}
}

// TestLastServersKeepTheirStreams checks that a closing server finishes its streams when few other servers are left
// to take them.
func TestLastServersKeepTheirStreams(t *testing.T) {
	for name, test := range map[string]struct {
		others int
		moved  bool
	}{
		"one of four": {others: 2, moved: true},
		"one of six":  {others: 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			both := firstThen(streamWithPause("a", 3, 6, 700*time.Millisecond), streamEvents("b", 6, writeLastChunk))
			one, two := newFakeServer(t, both), newFakeServer(t, both)
			addresses := []string{one.address, two.address}
			for i := range test.others {
				addresses = append(addresses, "127.0.0.1:"+strconv.Itoa(1+i))
			}
			w := newModelTestEnv(t, addresses...)
			for i := range test.others {
				w.reportClosing(2+i, true)
			}
			time.AfterFunc(100*time.Millisecond, func() { w.reportClosing(min(two.arrivals(), 1), true) })
			got := w.ask(http.MethodPost, "/stream/a", "x", nil)
			if got.status != http.StatusOK || got.err != nil || got.body != allEvents(6) {
				t.Errorf("status %d, body %q, error %v", got.status, got.body, got.err)
			}
			if moved := one.arrivals()+two.arrivals() == 2; moved != test.moved {
				t.Errorf("moved %t, want %t", moved, test.moved)
			}
		})
	}
}

func TestPriceOverrun(t *testing.T) {
	const own, over = 100 * time.Millisecond, 700 * time.Millisecond
	for name, test := range map[string]struct {
		moves bool
		// version and closes describe the other server.
		version contract.Version
		closes  time.Duration
		want    time.Duration
	}{
		"movable to a server whose closing is unknown": {true, 1, unknownTurn, own + moveOverhead},
		"movable to a server that closes later":        {true, 1, minTurnGap + 200*time.Millisecond, own + moveOverhead},
		"other server closes too soon":                 {true, 1, minTurnGap - 200*time.Millisecond, own + over},
		"other server runs another version":            {true, 2, unknownTurn, own + over},
		"not movable":                                  {false, 1, unknownTurn, own + over},
	} {
		t.Run(name, func(t *testing.T) {
			offers := []choice{
				{version: 1, closesIn: 100 * time.Millisecond, overrun: over, cost: own},
				{version: test.version, closesIn: test.closes, cost: own},
			}
			priceOverrun(offers, test.moves)
			if got := offers[0].cost; got != test.want {
				t.Errorf("cost %v, want %v", got, test.want)
			}
			if got := offers[1].cost; got != own {
				t.Errorf("cost of the other server %v, want %v", got, own)
			}
		})
	}
}
