package forward

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/pushback"
)

// respondWithHeader responds to request r1 with an additional header.
func respondWithHeader(header string) responder {
	return respondWith("HTTP/1.1 200 OK\nId: r1\nSeal: s\n" + header + "\nContent-Length: 5\n\nhello")
}

// refuseWithHeader refuses a request without running it, with an additional header.
func refuseWithHeader(header string) responder {
	return respondWith("HTTP/1.1 503 Service Unavailable\nId: r1\nNot-Run: 1\n" + header + "\nContent-Length: 0\n\n")
}

// asSoleEntry makes the entry act as the only one, past its start-up phase.
func (w *testEnv) asSoleEntry() { w.entry.startedAt = time.Now().Add(-time.Hour) }

// askConcurrently sends n requests at once and counts the responses by status.
func (w *testEnv) askConcurrently(n int, path string) map[int]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	got := make(map[int]int)
	for range n {
		wg.Go(func() {
			status := w.ask(http.MethodPost, path, "x", nil).status
			mu.Lock()
			defer mu.Unlock()
			got[status]++
		})
	}
	wg.Wait()
	return got
}

// TestFewerEntriesDoNotRaiseALimitsShare guards against entries that each use all of a server's limit while links to boxes
// come back one by one and the number of entries is too low.
func TestFewerEntriesDoNotRaiseALimitsShare(t *testing.T) {
	w := newModelTestEnv(t, "10.0.0.1:1")
	w.asSoleEntry()
	for _, linked := range []int{5, 1, 2} {
		w.entry.boxLinks.updateEntryCount("box", &link.Report{Entries: linked, EntryWeight: float64(linked)})
		if got := w.entry.limitSharers(); got != 5 {
			t.Errorf("%d entries share a limit while the box reports %d, want 5", got, linked)
		}
	}
}

func TestLimitedServersGetWhatTheyTake(t *testing.T) {
	for name, test := range map[string]struct {
		limit       string
		least, most int
	}{
		"a few per second": {"10", 4, 17},
		"one per second":   {"1", 1, 4},
		"none":             {"0", 1, 2},
		"tiny":             {"0.000001", 1, 2},
		"huge":             {"1e300", 40, 10000},
		"not a number":     {"many", 40, 10000},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			limited, free := newFakeServer(t, respondWithHeader("Server-Limit: "+test.limit)), newFakeServer(t, respondOK)
			w := newTestEnv(t, false, limited.address, free.address)
			w.asSoleEntry()
			for limited.arrivals() == 0 {
				w.ask(http.MethodPost, "/safe/", "x", nil)
			}
			for until := time.Now().Add(1500 * time.Millisecond); time.Now().Before(until); {
				for status, n := range w.askConcurrently(8, "/safe/") {
					if status != http.StatusOK {
						t.Fatalf("%d requests got %d though another server was free", n, status)
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
			if got := limited.arrivals(); got < test.least || got > test.most {
				t.Errorf("the limited server got %d requests in 1.5 s, want %d to %d", got, test.least, test.most)
			}
		})
	}
}

func TestALimitEndsWithTheFirstAnswerWithoutIt(t *testing.T) {
	first := firstThen(respondWithHeader("Server-Limit: 5"), respondOK)
	limited, free := newFakeServer(t, first), newFakeServer(t, respondOK)
	w := newTestEnv(t, false, limited.address, free.address)
	w.asSoleEntry()
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); {
		w.askConcurrently(8, "/safe/")
	}
	if got := limited.arrivals(); got < 50 {
		t.Errorf("the server got %d requests in 2 s after its limit was lifted", got)
	}
}

func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	limited := newFakeServer(t, respondWithHeader("Server-Limit: 0.5"))
	w := newTestEnv(t, false, limited.address)
	w.asSoleEntry()
	if got := w.ask(http.MethodPost, "/safe/", "x", nil); got.status != http.StatusOK {
		t.Fatalf("the first request got %d", got.status)
	}
	began := time.Now()
	got := w.ask(http.MethodPost, "/safe/", "x", nil)
	for got.status == http.StatusOK {
		began = time.Now()
		got = w.ask(http.MethodPost, "/safe/", "x", nil)
	}
	var after float64
	_, err := fmt.Sscan(got.header.Get("Retry-After"), &after)
	if got.status != http.StatusServiceUnavailable || time.Since(began) > 200*time.Millisecond || err != nil || after < 0.3 || after > 4 {
		t.Errorf("status %d after %s with Retry-After %q; want an immediate refusal for one interval plus the spread", got.status, time.Since(began), got.header.Get("Retry-After"))
	}
}

// TestAnswersOfOtherServersAskForNothing checks that pushback in a 421 response is not applied to the server that was
// addressed.
func TestAnswersOfOtherServersAskForNothing(t *testing.T) {
	other := newFakeServer(t, func(conn net.Conn, n int, r *http.Request) bool {
		if n == 1 {
			return writeRaw(conn, "HTTP/1.1 421 Misdirected Request\nId: r1\nServer-Limit: 0\nContent-Length: 0\n\n")
		}
		return respondOK(conn, n, r)
	})
	w := newTestEnv(t, false, other.address)
	w.asSoleEntry()
	w.ask(http.MethodPost, "/safe/", "x", nil)
	up := w.entry.upstreams.byServer(serverName(0))
	up.mu.Lock()
	defer up.mu.Unlock()
	if in := up.availableIn(1, time.Now()); in > 0 {
		t.Errorf("the server is limited for %s by the response of another", in)
	}
}

func TestServersThatSayThatTheyLeaveGetNothingMore(t *testing.T) {
	for name, answer := range map[string]responder{
		"response":     respondWithHeader("Server-Leaving: 1"),
		"refusal":      refuseWithHeader("Server-Leaving: 1"),
		"server error": respondWith("HTTP/1.1 500 Internal Server Error\nId: r1\nServer-Leaving: 1\nContent-Length: 0\n\n"),
		"truncated response": func(conn net.Conn, _ int, _ *http.Request) bool {
			writeRaw(conn, "HTTP/1.1 200 OK\nId: r1\nSeal: s\nServer-Leaving: 1\nContent-Length: 5\n\nhe")
			return false
		},
		"first response only": firstThen(respondWithHeader("Server-Leaving: 1"), respondOK),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			leaving, stays := newFakeServer(t, answer), newFakeServer(t, respondOK)
			w := newTestEnv(t, false, leaving.address, stays.address)
			for leaving.arrivals() == 0 {
				w.ask(http.MethodPost, "/safe/", "x", nil)
			}
			before := leaving.arrivals()
			for status, n := range w.askConcurrently(60, "/safe/") {
				if status != http.StatusOK {
					t.Errorf("%d requests got status %d though another server stays", n, status)
				}
			}
			if got := leaving.arrivals() - before; got > 0 {
				t.Errorf("%d requests reached the leaving server", got)
			}
		})
	}
}

func TestTheHeadOfAStreamSaysThatItsServerLeaves(t *testing.T) {
	leaving := newFakeServer(t, respondWith("HTTP/1.1 200 OK\nId: r1\nSeal: s\nServer-Leaving: 1\nContent-Type: text/event-stream\nConnection: close\n\nid: 1\ndata: a\n\n"))
	w := newModelTestEnv(t, leaving.address)
	if got := w.ask(http.MethodPost, "/stream/", "x", nil); got.status != http.StatusOK {
		t.Fatalf("the stream got %d", got.status)
	}
	began := time.Now()
	got := w.ask(http.MethodPost, "/stream/", "x", nil)
	if got.status != http.StatusServiceUnavailable || leaving.arrivals() != 1 || time.Since(began) > 200*time.Millisecond {
		t.Errorf("status %d after %s, and %d requests reached the leaving server; want an immediate refusal", got.status, time.Since(began), leaving.arrivals())
	}
}

func TestNoRowTakesBackThatAServerLeaves(t *testing.T) {
	const id = "server0"
	for name, updates := range map[string][]bool{
		"unchanged entry":                           {false},
		"entry says leaving too":                    {true},
		"older entry follows one that says leaving": {true, false},
	} {
		t.Run(name, func(t *testing.T) {
			up := &upstream{}
			up.applyListing(discovery.ListedServer{Server: contract.Server{ID: id}}, 1)
			up.applyPushback(pushback.Signal{Leaving: true}, time.Now(), time.Now(), 1)
			up.applyPushback(pushback.Signal{}, time.Now(), time.Now(), 1)
			for _, leaving := range updates {
				up.applyListing(discovery.ListedServer{Server: contract.Server{ID: id, Leaving: leaving}}, 1)
			}
			if !up.isLeaving() {
				t.Error("the server counts as staying")
			}
		})
	}
}

// TestARowThatLapsesTakesNothingBack checks that pushback outlives the server's list entry, unless another
// incarnation takes its place.
func TestARowThatLapsesTakesNothingBack(t *testing.T) {
	listed := func(born int64) []discovery.ListedServer {
		return []discovery.ListedServer{{Server: contract.Server{ID: serverName(0), Service: "s", Born: born}}}
	}
	for name, test := range map[string]struct {
		again int64
		want  bool
	}{
		"same incarnation": {1, true},
		"new incarnation":  {2, false},
	} {
		t.Run(name, func(t *testing.T) {
			var us upstreams
			us.update(listed(1))
			us.byServer(serverName(0)).applyPushback(pushback.Signal{Leaving: true}, time.Now(), time.Now(), 1)
			us.update(nil)
			us.update(listed(test.again))
			if got := us.byServer(serverName(0)).isLeaving(); got != test.want {
				t.Errorf("the server is leaving: %t, want %t", got, test.want)
			}
		})
	}
}

func TestReportsOfBoxesTellWhatServersAskFor(t *testing.T) {
	limited, leaving, none := link.Report{Limited: true, Limit: 0.01}, link.Report{Leaving: true}, link.Report{}
	for name, test := range map[string]struct {
		reports []link.Report
		answer  *pushback.Signal
		limited bool
		leaves  bool
	}{
		"limit":                         {reports: []link.Report{limited}, limited: true},
		"limit lifted":                  {reports: []link.Report{limited, none}},
		"leaving":                       {reports: []link.Report{leaving, none}, leaves: true},
		"response limit not in reports": {reports: []link.Report{none, none}, answer: &pushback.Signal{Limited: true, Limit: 0.01}, limited: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newModelTestEnv(t, "127.0.0.1:1")
			up := w.entry.upstreams.byServer(serverName(0))
			if test.answer != nil {
				up.applyPushback(*test.answer, time.Now(), time.Now(), 1)
			}
			for _, report := range test.reports {
				w.applyReport(0, report)
			}
			up.mu.Lock()
			defer up.mu.Unlock()
			up.limit = up.limit.WithSent(time.Now(), 1)
			if available := up.availableIn(1, time.Now()); available > 0 != test.limited || up.isLeaving() != test.leaves {
				t.Errorf("available in %s, leaving %t; want limited %t, leaving %t", available, up.isLeaving(), test.limited, test.leaves)
			}
		})
	}
}
