package forward

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/retry"
)

// eventTimes reads a stream and returns when each event arrived, from the start of the request.
func eventTimes(t *testing.T, url, path string) (at []time.Duration, err error) {
	t.Helper()
	started := time.Now()
	req, err := http.NewRequest(http.MethodPost, url+path, strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Id", "r1")
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	for lines := bufio.NewReader(resp.Body); ; {
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			return at, nil
		}
		if err != nil {
			return at, err
		}
		if strings.HasPrefix(line, "data:") {
			at = append(at, time.Since(started))
		}
	}
}

func longestPause(at []time.Duration) (longest time.Duration) {
	for i := 1; i < len(at); i++ {
		longest = max(longest, at[i]-at[i-1])
	}
	return longest
}

// TestBufferedEventsAreFlushedInTime checks that events buffered for a hedged attempt are written as soon as it
// fails.
func TestBufferedEventsAreFlushedInTime(t *testing.T) {
	for name, test := range map[string]struct {
		second responder
		pause  time.Duration
	}{
		"second server refuses": {refuseNotRun, 300 * time.Millisecond},
		"second server refuses after queueing": {func(conn net.Conn, n int, r *http.Request) bool {
			time.Sleep(300 * time.Millisecond)
			return refuseNotRun(conn, n, r)
		}, 500 * time.Millisecond},
		"second server is silent": {delayed("b", 5*time.Second), 1200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			both := firstThen(paced("a", 20, 100*time.Millisecond), test.second)
			one, two := newFakeServer(t, both), newFakeServer(t, both)
			w := newModelTestEnv(t, one.address, two.address)
			time.AfterFunc(100*time.Millisecond, func() { w.reportClosing(min(two.arrivals(), 1), true) })
			at, err := eventTimes(t, w.url, "/stream/a")
			if err != nil || len(at) != 20 || one.arrivals()+two.arrivals() != 2 {
				t.Fatalf("%d events, %v", len(at), err)
			}
			if pause := longestPause(at); pause > test.pause {
				t.Errorf("a pause of %v between events that were sent every 100 ms", pause)
			}
		})
	}
}

// TestLosingAttemptsAreCancelled checks that pending attempts are cancelled once another one has won or the caller has
// left.
func TestLosingAttemptsAreCancelled(t *testing.T) {
	for name, test := range map[string]struct {
		// first and second are the times to the first event.
		first, second time.Duration
		closes        bool
		leaves        time.Duration
	}{
		"second responds first":    {first: 5 * time.Second, second: 100 * time.Millisecond},
		"first responds first":     {first: 1200 * time.Millisecond, second: 5 * time.Second},
		"moved before first event": {first: 5 * time.Second, second: 100 * time.Millisecond, closes: true},
		"caller leaves two silent": {first: 5 * time.Second, second: 5 * time.Second, leaves: 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var atWork atomic.Int32
			after := func(wait time.Duration) responder {
				return func(conn net.Conn, n int, r *http.Request) bool {
					atWork.Add(1)
					defer atWork.Add(-1)
					_ = conn.SetReadDeadline(time.Now().Add(wait))
					if _, err := conn.Read(make([]byte, 1)); err != nil && !isTimeout(err) {
						return false
					}
					return streamEvents("s", 6, writeLastChunk)(conn, n, r)
				}
			}
			both := firstThen(after(test.first), after(test.second))
			one, two := newFakeServer(t, both), newFakeServer(t, both)
			w := newModelTestEnv(t, one.address, two.address)
			if test.closes {
				time.AfterFunc(100*time.Millisecond, func() { w.reportClosing(min(two.arrivals(), 1), true) })
			}
			if test.leaves > 0 {
				conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
				if err != nil {
					t.Fatal(err)
				}
				writeRaw(conn, "POST /stream/a HTTP/1.1\nHost: h\nId: r1\nContent-Length: 0\n\n")
				time.Sleep(test.leaves)
				_ = conn.Close()
			} else if got := w.ask(http.MethodPost, "/stream/a", "x", nil); got.body != allEvents(6) || got.err != nil {
				t.Errorf("status %d, body %q, error %v", got.status, got.body, got.err)
			}
			time.Sleep(100 * time.Millisecond)
			if n := atWork.Load(); n != 0 || one.arrivals()+two.arrivals() != 2 {
				t.Errorf("%d of %d servers still work", n, one.arrivals()+two.arrivals())
			}
		})
	}
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// versionWire also sends the version to servers.
type versionWire struct{ testWire }

func (versionWire) SetRequestHeaders(h http.Header, send AttemptInfo) {
	testWire{}.SetRequestHeaders(h, send)
	h.Set("Version", strconv.Itoa(int(send.Version)))
}

// TestTakenUpExactlyAfterTheLastEvent checks that a stream resumes at the second server right after the caller's last
// event, on the same version, even if the first server has sent more meanwhile.
func TestTakenUpExactlyAfterTheLastEvent(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var heads []http.Header
	named := func(name string, before, pause time.Duration) responder {
		return func(conn net.Conn, _ int, r *http.Request) bool {
			mu.Lock()
			heads = append(heads, r.Header)
			mu.Unlock()
			from, _ := strconv.Atoi(r.Header.Get("Last"))
			time.Sleep(before)
			writeRaw(conn, fmt.Sprintf(streamHeader, name))
			for i := from + 1; i <= 20; i++ {
				time.Sleep(pause)
				writeChunk(conn, fmt.Sprintf("id: %d\ndata: %s%d\n\n", i, name, i))
			}
			writeLastChunk(conn)
			return false
		}
	}
	both := firstThen(named("a", 0, 80*time.Millisecond), named("b", 250*time.Millisecond, 0))
	one, two := newFakeServer(t, both), newFakeServer(t, both)
	w := newModelTestEnv(t, one.address, two.address)
	w.entry.cfg.Wire = versionWire{}
	time.AfterFunc(100*time.Millisecond, func() { w.reportClosing(min(two.arrivals(), 1), true) })
	got := w.ask(http.MethodPost, "/stream/a", "x", nil)
	mu.Lock()
	defer mu.Unlock()
	if len(heads) != 2 {
		t.Fatalf("%d sends", len(heads))
	}
	last, _ := strconv.Atoi(heads[1].Get("Last"))
	var want strings.Builder
	for i := 1; i <= 20; i++ {
		name := "a"
		if i > last {
			name = "b"
		}
		fmt.Fprintf(&want, "id: %d\ndata: %s%d\n\n", i, name, i)
	}
	if got.err != nil || last == 0 || got.body != want.String() {
		t.Errorf("resumed after %d; body %q, error %v", last, got.body, got.err)
	}
	if heads[0].Get("Version") != "0" || heads[1].Get("Version") != "1" {
		t.Errorf("sent with versions %s and %s", heads[0].Get("Version"), heads[1].Get("Version"))
	}
}

// TestStreamResumesOnSameVersionOnly checks that a stream is not moved to a server of another version.
func TestStreamResumesOnSameVersionOnly(t *testing.T) {
	t.Parallel()
	both := firstThen(paced("a", 10, 100*time.Millisecond), streamEvents("b", 10, writeLastChunk))
	one, two := newFakeServer(t, both), newFakeServer(t, both)
	w := newModelTestEnv(t, one.address, two.address)
	time.AfterFunc(150*time.Millisecond, func() {
		asked := min(two.arrivals(), 1)
		w.reportClosing(asked, true)
		w.entry.upstreams.applyReport(link.Report{Server: serverName(1 - asked), Model: testModel, Version: 2}, time.Now())
	})
	if got := w.ask(http.MethodPost, "/stream/a", "x", nil); got.body != allEvents(10) || one.arrivals()+two.arrivals() != 1 {
		t.Errorf("%d sends, body %q, error %v", one.arrivals()+two.arrivals(), got.body, got.err)
	}
}

// TestHandoverAttemptLimits checks how many servers are tried at most while the first one is silent.
func TestHandoverAttemptLimits(t *testing.T) {
	for name, test := range map[string]struct {
		second responder
		budget *retry.Budget
		want   int
	}{
		"no budget":                 {refuseNotRun, retry.NewBudget(0, 0, time.Second), 1},
		"as many as route attempts": {delayed("b", 2800*time.Millisecond), retry.NewBudget(1, 100, time.Second), 2},
		"maxRefusals":               {refuseNotRun, retry.NewBudget(1, 100, time.Second), 1 + maxRefusals},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			each := firstThen(delayed("a", 2500*time.Millisecond), test.second)
			fakes, addresses := make([]*fakeServer, 8), make([]string, 8)
			for i := range fakes {
				fakes[i] = newFakeServer(t, each)
				addresses[i] = fakes[i].address
			}
			w := newModelTestEnv(t, addresses...)
			w.entry.budget = test.budget
			got := w.ask(http.MethodPost, "/stream/a", "x", nil)
			sends := 0
			for _, f := range fakes {
				sends += f.arrivals()
			}
			if got.body != allEvents(6) || got.err != nil || sends != test.want {
				t.Errorf("%d sends, want %d; body %q, error %v", sends, test.want, got.body, got.err)
			}
		})
	}
}

// TestRandomHandovers runs many streams against servers that close, refuse, break off and stall at random. It checks
// the received bodies, the number of runs, and that no work or goroutine remains.
func TestRandomHandovers(t *testing.T) {
	for _, attempts := range []int{2, 3} {
		t.Run(strconv.Itoa(attempts), func(t *testing.T) { randomHandovers(t, attempts) })
	}
}

func randomHandovers(t *testing.T, attempts int) {
	const servers, events, callers, rounds = 8, 8, 40, 3
	var atWork atomic.Int32
	var mu sync.Mutex
	runs := make(map[string]int)
	answer := func(conn net.Conn, _ int, r *http.Request) bool {
		atWork.Add(1)
		defer atWork.Add(-1)
		gone := make(chan struct{})
		go func() {
			_, _ = conn.Read(make([]byte, 1))
			close(gone)
		}()
		wait := func(d time.Duration) bool {
			select {
			case <-gone:
				return false
			case <-time.After(d):
				return true
			}
		}
		pick := rand.IntN(20)
		if !wait(rand.N(60 * time.Millisecond)) {
			return false
		}
		id := r.Header.Get("Id")
		if pick < 5 {
			writeRaw(conn, "HTTP/1.1 503 No\nId: "+id+"\nNot-Run: 1\nConnection: close\nContent-Length: 0\n\n")
			return false
		}
		mu.Lock()
		runs[id]++
		mu.Unlock()
		if pick == 5 && !wait(2*time.Second) {
			return false
		}
		writeRaw(conn, "HTTP/1.1 200 OK\nId: "+id+"\nSeal: s\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n")
		from, _ := strconv.Atoi(r.Header.Get("Last"))
		for i := from + 1; i <= events; i++ {
			if !wait(rand.N(250 * time.Millisecond)) {
				return false
			}
			switch {
			case pick == 6 && rand.IntN(4) == 0:
				writeChunk(conn, "id: 1")
				return reset(conn)
			case pick == 7 && rand.IntN(4) == 0 && !wait(1200*time.Millisecond):
				return false
			}
			writeChunk(conn, fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i))
		}
		writeLastChunk(conn)
		return false
	}
	addresses := make([]string, servers)
	for i := range addresses {
		addresses[i] = newFakeServer(t, answer).address
	}
	w := newModelTestEnv(t, addresses...)
	w.entry.budget = retry.NewBudget(1, 1e6, time.Second)
	route := w.entry.cfg.View.Config().Route("h", "/stream/a")
	route.Attempts, route.Goal = attempts, time.Minute
	before := runtime.NumGoroutine()
	stop, reported := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(reported)
		for {
			for i := range servers {
				// Reports expire after 1.5 s.
				w.applyReport(i, link.Report{Closing: rand.IntN(3) == 0})
			}
			select {
			case <-stop:
				return
			case <-time.After(1300 * time.Millisecond):
			}
		}
	}()
	var done sync.WaitGroup
	var whole, cut, refused atomic.Int32
	for caller := range callers {
		done.Go(func() {
			for round := range rounds {
				id := fmt.Sprintf("r%d-%d", caller, round)
				if caller%4 == 0 {
					abandonStream(w, id)
					continue
				}
				got := w.ask(http.MethodPost, "/stream/a", "x", map[string]string{"Id": id})
				switch {
				case got.status != http.StatusOK:
					refused.Add(1)
				case got.err == nil:
					whole.Add(1)
					if got.body != allEvents(events) {
						t.Errorf("%s: whole, but %q", id, got.body)
					}
				default:
					cut.Add(1)
					if n := len(got.body); n > len(allEvents(events)) || got.body != allEvents(events)[:n] {
						t.Errorf("%s: cut, but %q", id, got.body)
					}
				}
			}
		})
	}
	done.Wait()
	close(stop)
	<-reported
	mu.Lock()
	for id, n := range runs {
		if n > attempts {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	mu.Unlock()
	time.Sleep(300 * time.Millisecond)
	if n := atWork.Load(); n != 0 {
		t.Errorf("%d servers still work", n)
	}
	for deadline := time.Now().Add(3 * time.Second); runtime.NumGoroutine() > before+20; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Errorf("%d goroutines, %d before", runtime.NumGoroutine(), before)
			break
		}
	}
	t.Logf("whole %d, cut %d, refused %d; handovers taken %d, refused %d", whole.Load(), cut.Load(), refused.Load(), handovers("taken").Get(), handovers("refused").Get())
}

// abandonStream sends a request, reads little of the response and closes the connection.
func abandonStream(w *testEnv, id string) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
	if err != nil {
		w.t.Error(err)
		return
	}
	defer func() { _ = conn.Close() }()
	writeRaw(conn, "POST /stream/a HTTP/1.1\nHost: h\nId: "+id+"\nContent-Length: 0\n\n")
	time.Sleep(rand.N(2 * time.Second))
	if rand.IntN(2) == 0 {
		reset(conn)
	}
}
