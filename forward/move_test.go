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

// ranks are those with which requests arrive at servers.
type ranks struct {
	mu   sync.Mutex
	seen []string
}

// noted notes the rank of a request before it is answered.
func (rs *ranks) noted(answer answering) answering {
	return func(conn net.Conn, n int, r *http.Request) bool {
		rs.mu.Lock()
		rs.seen = append(rs.seen, r.Header.Get("Rank"))
		rs.mu.Unlock()
		return answer(conn, n, r)
	}
}

func (rs *ranks) last() string {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if len(rs.seen) == 0 {
		return ""
	}
	return rs.seen[len(rs.seen)-1]
}

func TestMove(t *testing.T) {
	long := 1500 * time.Millisecond
	for name, test := range map[string]struct {
		path  string
		first answering
		// alone says that the other server closes too, opens that it does not any more after a time.
		alone bool
		opens time.Duration
		// closes is how soon the other server's turn to load comes.
		closes time.Duration
		seal   string
		moved  bool
	}{
		"a stream goes on elsewhere": {path: "/stream/a", first: pausing("a", 3, 6, long), seal: "a", moved: true},
		"a request without an event begins anew": {path: "/stream/a", first: func(conn net.Conn, n int, r *http.Request) bool {
			time.Sleep(long)
			return streaming("a", 6, finish)(conn, n, r)
		}, seal: "b", moved: true},
		"nowhere to go": {path: "/stream/a", first: pausing("a", 3, 6, 400*time.Millisecond), alone: true, seal: "a"},
		"a place is found later": {
			path: "/stream/a", first: pausing("a", 3, 6, 750*time.Millisecond), alone: true, opens: 450 * time.Millisecond,
			seal: "a", moved: true,
		},
		"the other's turn comes too soon": {
			path: "/stream/a", first: pausing("a", 3, 6, 700*time.Millisecond), closes: turnMargin + moveAfter/2, seal: "a",
		},
		"the other's turn comes later": {
			path: "/stream/a", first: pausing("a", 3, 6, 700*time.Millisecond), closes: turnMargin + 2*moveAfter, seal: "a", moved: true,
		},
		"one that may not run again": {path: "/stream/once/a", first: pausing("a", 3, 6, 400*time.Millisecond), seal: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var ranks ranks
			both := firstThen(ranks.noted(test.first), ranks.noted(streaming("b", 6, finish)))
			one, two := newFake(t, both), newFake(t, both)
			w := newEngineWorld(t, one.address, two.address)
			time.AfterFunc(100*time.Millisecond, func() {
				asked := 0
				if two.arrivals() > 0 {
					asked = 1
				}
				w.report(asked, true)
				w.heard(1-asked, link.Report{Closing: test.alone, Closes: test.closes})
				if test.opens > 0 {
					time.AfterFunc(test.opens, func() { w.report(1-asked, false) })
				}
			})
			got := w.ask(http.MethodPost, test.path, "x", nil)
			if got.status != http.StatusOK || got.err != nil || got.body != all(6) || got.header.Get("Seal") != test.seal {
				t.Errorf("status %d, seal %q, body %q, error %v", got.status, got.header.Get("Seal"), got.body, got.err)
			}
			if moved := one.arrivals()+two.arrivals() == 2; moved != test.moved {
				t.Errorf("moved %t, want %t", moved, test.moved)
			}
			if got := ranks.last(); test.moved && got != strconv.Itoa(mostUrgent) {
				t.Errorf("moved with rank %s, want %d: its caller waits in the middle of an answer", got, mostUrgent)
			}
		})
	}
}

// TestLastServersKeepTheirStreams proves that a server goes on with its streams to their end when few others are left to take them.
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
			both := firstThen(pausing("a", 3, 6, 700*time.Millisecond), streaming("b", 6, finish))
			one, two := newFake(t, both), newFake(t, both)
			addresses := []string{one.address, two.address}
			for i := range test.others {
				addresses = append(addresses, "127.0.0.1:"+strconv.Itoa(1+i))
			}
			w := newEngineWorld(t, addresses...)
			for i := range test.others {
				w.report(2+i, true)
			}
			time.AfterFunc(100*time.Millisecond, func() { w.report(min(two.arrivals(), 1), true) })
			got := w.ask(http.MethodPost, "/stream/a", "x", nil)
			if got.status != http.StatusOK || got.err != nil || got.body != all(6) {
				t.Errorf("status %d, body %q, error %v", got.status, got.body, got.err)
			}
			if moved := one.arrivals()+two.arrivals() == 2; moved != test.moved {
				t.Errorf("moved %t, want %t", moved, test.moved)
			}
		})
	}
}

func TestPriceOfWhatOutlastsATurn(t *testing.T) {
	const own, over = 100 * time.Millisecond, 700 * time.Millisecond
	for name, test := range map[string]struct {
		moves bool
		// other is another server's version and turn.
		version contract.Version
		closes  time.Duration
		want    time.Duration
	}{
		"it goes on at a server whose turn is not known": {true, 1, unknownTurn, own + moveCost},
		"it goes on at a server whose turn comes later":  {true, 1, movedTime + 200*time.Millisecond, own + moveCost},
		"the other's turn comes too soon":                {true, 1, movedTime - 200*time.Millisecond, own + over},
		"the other runs another version":                 {true, 2, unknownTurn, own + over},
		"it may not go on":                               {false, 1, unknownTurn, own + over},
	} {
		t.Run(name, func(t *testing.T) {
			offers := []choice{
				{version: 1, closes: 100 * time.Millisecond, over: over, cost: own},
				{version: test.version, closes: test.closes, cost: own},
			}
			priceOverrun(offers, test.moves)
			if got := offers[0].cost; got != test.want {
				t.Errorf("counts as %v, want %v", got, test.want)
			}
			if got := offers[1].cost; got != own {
				t.Errorf("the other counts as %v, want %v", got, own)
			}
		})
	}
}
