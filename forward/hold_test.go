package forward

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/coralstair/coralstair/admission"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/link"
)

// newRankedTestEnv returns an entry in front of model servers whose requests differ in rank, or not.
func newRankedTestEnv(t *testing.T, ranked bool, addresses ...string) *testEnv {
	t.Helper()
	service := contract.Service{Name: "s", MaxConns: 100, Engine: &contract.Engine{
		Slots: 8, Stride: 1, Chunk: 1000, Step: time.Millisecond, ReadRate: 1e5, UsualPrompt: 100, UsualAnswer: 50,
		Models: []contract.Model{{Name: testModel}},
	}}
	route := func(name string, priority int) contract.Route {
		return contract.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: contract.KindStream, TimeLimit: 6 * time.Second, Attempts: 2,
			Goal: 500 * time.Millisecond, PauseGoal: 400 * time.Millisecond, Priority: priority, Split: []contract.Share{{Service: "s", Weight: 1}},
		}
	}
	routes := []contract.Route{route("first", 0), route("second", 0)}
	if ranked {
		routes[1].Priority = 1
	}
	cfg := contract.NewConfig(1, contract.Limits{}, routes, []contract.Service{service}, nil)
	source := fixedSource{declared: discovery.Declared{Config: cfg}}
	for i, address := range addresses {
		source.servers.Present = append(source.servers.Present, contract.Server{
			ID: serverName(i), Service: "s", Address: address, Slots: 8, Loaded: map[string]contract.Version{testModel: 1},
		})
	}
	return newTestEnvFrom(t, source)
}

// keepClosed has the boxes report that all servers load, to be ready in a time from now, until the returned function is called.
func (w *testEnv) keepClosed(servers int, ready time.Duration) (stop func()) {
	w.t.Helper()
	ends, ctx := time.Now().Add(ready), w.t.Context()
	ctx, cancel := context.WithCancel(ctx)
	report := func() {
		for i := range servers {
			w.applyReport(i, link.Report{Closing: true, ReadyIn: max(time.Until(ends), 50*time.Millisecond)})
		}
	}
	report()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-time.After(50 * time.Millisecond):
				report()
			}
		}
	}()
	return func() {
		cancel()
		<-stopped
	}
}

// open has the boxes report that all servers take requests again.
func (w *testEnv) open(servers int, report link.Report) {
	for i := range servers {
		w.applyReport(i, report)
	}
}

// answer is a response and how long it took.
type answer struct {
	result
	took time.Duration
}

// askReturn sends a request as its caller's second try.
func (w *testEnv) askReturn(path, body string) <-chan answer {
	const limit = 4 * time.Second
	deadline := time.Now().Add(limit)
	answered := make(chan answer, 1)
	go func() {
		began := time.Now()
		headers := map[string]string{"Wait": strconv.FormatInt(limit.Milliseconds(), 10)}
		answered <- answer{result: w.askAgain(path, body, headers, deadline), took: time.Since(began)}
	}()
	return answered
}

// askAgain has the entry know the request as one that another entry refused.
func (w *testEnv) askAgain(path, body string, headers map[string]string, deadline time.Time) result {
	w.knowRefused(path, body, deadline)
	return w.ask(http.MethodPost, path, body, headers)
}

// knowRefused has the entry know a request as refused, whose caller's deadline is this or, as it arrives late on a busy machine, up to a
// second later.
func (w *testEnv) knowRefused(path, body string, deadline time.Time) {
	c := &call{r: &http.Request{Method: http.MethodPost, Host: "h", RequestURI: path}, body: []byte(body)}
	now := time.Now()
	for late := time.Duration(0); late < time.Second; late += 50 * time.Millisecond {
		w.entry.retryDetector.Record(admission.Refusal{Fingerprint: c.retryHash(), FirstTry: now.Add(-2 * time.Second), Deadline: deadline.Add(late)}, now)
	}
}

// awaitHeld waits until a number of requests is held.
func (w *testEnv) awaitHeld(n int) {
	w.t.Helper()
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if w.held() == n {
			return
		}
	}
	w.t.Fatalf("%d requests are held, want %d", w.held(), n)
}

// held returns the number of requests that the entry holds.
func (w *testEnv) held() (n int) {
	w.entry.rooms.mu.Lock()
	defer w.entry.rooms.mu.Unlock()
	for _, r := range w.entry.rooms.byID {
		n += r.waiting.Len()
	}
	return n
}

// TestReturnIsHeldOverAGap checks that a return that no server takes waits for the servers and is answered, and that no first try waits.
func TestReturnIsHeldOverAGap(t *testing.T) {
	t.Parallel()
	server := newFakeServer(t, streamEvents("s", 1, writeLastChunk))
	w := newRankedTestEnv(t, true, server.address)
	stop := w.keepClosed(1, 700*time.Millisecond)
	returned := w.askReturn("/first/a", "x")
	w.awaitHeld(1)
	first := w.ask(http.MethodPost, "/first/b", "y", map[string]string{"Wait": "6000"})
	after, _ := strconv.ParseFloat(first.header.Get("Retry-After"), 64)
	if first.status != http.StatusServiceUnavailable || after < 0.2 || after > 1.5 {
		t.Errorf("first try got status %d, Retry-After %v", first.status, after)
	}
	if !strings.Contains(first.body, outcomeNotRun) || server.arrivals() != 0 {
		t.Errorf("answer %q, %d sends", first.body, server.arrivals())
	}
	time.Sleep(300 * time.Millisecond)
	stop()
	w.open(1, link.Report{})
	if got := <-returned; got.status != http.StatusOK || got.took < 300*time.Millisecond {
		t.Errorf("return got status %d after %s", got.status, got.took)
	}
	w.awaitHeld(0)
}

// TestWithoutRanksNothingIsHeld checks that where requests don't differ in rank returns are refused at once, as advised by the usual
// prediction.
func TestWithoutRanksNothingIsHeld(t *testing.T) {
	t.Parallel()
	w := newRankedTestEnv(t, false, newFakeServer(t, streamEvents("s", 1, writeLastChunk)).address)
	defer w.keepClosed(1, time.Second)()
	got := <-w.askReturn("/first/a", "x")
	after, _ := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.status != http.StatusServiceUnavailable || got.took > 300*time.Millisecond {
		t.Errorf("status %d after %s", got.status, got.took)
	}
	if least := time.Duration(after * float64(time.Second)); least < minRetryAfter+500*time.Millisecond {
		t.Errorf("Retry-After %s", least)
	}
	if len(w.entry.rooms.byID) > 0 {
		t.Error("there is a room")
	}
}

// TestHeldCallerGoes checks that the place of a held request whose caller goes away is freed, and that it is not sent.
func TestHeldCallerGoes(t *testing.T) {
	t.Parallel()
	server := newFakeServer(t, streamEvents("s", 1, writeLastChunk))
	w := newRankedTestEnv(t, true, server.address)
	defer w.keepClosed(1, time.Second)()
	ctx, leave := context.WithCancel(t.Context())
	const body, limit = "x", 4 * time.Second
	w.knowRefused("/first/a", body, time.Now().Add(limit))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, w.url+"/first/a", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Id", "r1")
	req.Header.Set("Wait", strconv.FormatInt(limit.Milliseconds(), 10))
	go func() { _, _ = (&http.Transport{}).RoundTrip(req) }()
	w.awaitHeld(1)
	leave()
	w.awaitHeld(0)
	if server.arrivals() != 0 {
		t.Error("the request was sent")
	}
}

// TestLeavingEntryRefusesHeldRequests checks that an entry that leaves refuses at once what it holds, as not run.
func TestLeavingEntryRefusesHeldRequests(t *testing.T) {
	t.Parallel()
	server := newFakeServer(t, streamEvents("s", 1, writeLastChunk))
	w := newRankedTestEnv(t, true, server.address)
	defer w.keepClosed(1, 2*time.Second)()
	returned := w.askReturn("/first/a", "x")
	w.awaitHeld(1)
	left := time.Now()
	w.entry.leaving.Store(true)
	got := <-returned
	if took := time.Since(left); got.status != http.StatusServiceUnavailable || took > 200*time.Millisecond || !strings.Contains(got.body, outcomeNotRun) {
		t.Errorf("status %d after %s, answer %q", got.status, took, got.body)
	}
	if server.arrivals() != 0 {
		t.Error("the request was sent")
	}
}

// TestHeldUntilPredictionSlips checks that a held request is refused at once when the servers are predicted too late for it.
func TestHeldUntilPredictionSlips(t *testing.T) {
	t.Parallel()
	server := newFakeServer(t, streamEvents("s", 1, writeLastChunk))
	w := newRankedTestEnv(t, true, server.address)
	stop := w.keepClosed(1, time.Second)
	returned := w.askReturn("/first/a", "x")
	w.awaitHeld(1)
	stop()
	slipped := time.Now()
	defer w.keepClosed(1, 7*time.Second)()
	got := <-returned
	if took := time.Since(slipped); got.status != http.StatusServiceUnavailable || took > 300*time.Millisecond || !strings.Contains(got.body, outcomeNotRun) {
		t.Errorf("status %d after %s, answer %q", got.status, took, got.body)
	}
	if server.arrivals() != 0 {
		t.Error("the request was sent")
	}
}

// TestOthersFillTheServers checks that held requests are not sent to servers that other entries filled, but later, when there is room.
func TestOthersFillTheServers(t *testing.T) {
	t.Parallel()
	server := newFakeServer(t, streamEvents("s", 1, writeLastChunk))
	w := newRankedTestEnv(t, true, server.address)
	stop := w.keepClosed(1, 500*time.Millisecond)
	returned := w.askReturn("/first/a", "x")
	w.awaitHeld(1)
	stop()
	w.open(1, link.Report{Running: 8, Waiting: 100})
	time.Sleep(300 * time.Millisecond)
	if server.arrivals() != 0 {
		t.Fatal("the request was sent to a full server")
	}
	w.open(1, link.Report{Running: 1})
	if got := <-returned; got.status != http.StatusOK {
		t.Errorf("status %d", got.status)
	}
}

// TestNoHeldRequestIsForgotten checks that each of many returns that come around the opening of the servers ends, and that none stays in
// the room.
func TestNoHeldRequestIsForgotten(t *testing.T) {
	t.Parallel()
	const gaps, returns = 4, 30
	// The server keeps its connections: one that it closes may take a request with it.
	stream := streamEvents("s", 1, writeLastChunk)
	server := newFakeServer(t, func(conn net.Conn, n int, r *http.Request) bool {
		stream(conn, n, r)
		return true
	})
	w := newRankedTestEnv(t, true, server.address)
	for gap := range gaps {
		stop := w.keepClosed(1, 50*time.Millisecond)
		answered := make([]<-chan answer, returns)
		for i := range answered {
			answered[i] = w.askReturn("/first/"+strconv.Itoa(gap*returns+i), "x")
			if i == returns/2 {
				time.Sleep(30 * time.Millisecond)
				stop()
				w.open(1, link.Report{})
			}
		}
		for i, c := range answered {
			if got := <-c; got.err != nil || got.status != http.StatusOK && got.status != http.StatusServiceUnavailable || got.took > 3500*time.Millisecond {
				t.Errorf("gap %d: the %dth got status %d after %s, %v", gap, i, got.status, got.took, got.err)
			}
		}
		w.awaitHeld(0)
	}
}
