package forward

import (
	"net"
	"net/http"
	"testing"
	"time"
)

func TestMove(t *testing.T) {
	long := 1500 * time.Millisecond
	for name, test := range map[string]struct {
		path  string
		first answering
		// alone says that the other server closes too.
		alone bool
		seal  string
		moved bool
	}{
		"a stream goes on elsewhere": {path: "/stream/a", first: pausing("a", 3, 6, long), seal: "a", moved: true},
		"a request without an event begins anew": {path: "/stream/a", first: func(conn net.Conn, n int, r *http.Request) bool {
			time.Sleep(long)
			return streaming("a", 6, finish)(conn, n, r)
		}, seal: "b", moved: true},
		"nowhere to go":              {path: "/stream/a", first: pausing("a", 3, 6, 400*time.Millisecond), alone: true, seal: "a"},
		"one that may not run again": {path: "/stream/once/a", first: pausing("a", 3, 6, 400*time.Millisecond), seal: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			both := firstThen(test.first, streaming("b", 6, finish))
			one, two := newFake(t, both), newFake(t, both)
			w := newEngineWorld(t, one.address, two.address)
			time.AfterFunc(100*time.Millisecond, func() {
				asked := 0
				if two.arrivals() > 0 {
					asked = 1
				}
				w.report(asked, true)
				w.report(1-asked, test.alone)
			})
			got := w.ask(http.MethodPost, test.path, "x", nil)
			if got.status != http.StatusOK || got.err != nil || got.body != all(6) || got.header.Get("Seal") != test.seal {
				t.Errorf("status %d, seal %q, body %q, error %v", got.status, got.header.Get("Seal"), got.body, got.err)
			}
			if moved := one.arrivals()+two.arrivals() == 2; moved != test.moved {
				t.Errorf("moved %t, want %t", moved, test.moved)
			}
		})
	}
}
