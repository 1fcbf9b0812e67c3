package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
)

// TestLateHedgeDoesNotBufferEvents checks that a hedged attempt whose goroutine starts only after another attempt has
// won keeps no event from the caller.
func TestLateHedgeDoesNotBufferEvents(t *testing.T) {
	t.Parallel()
	one := newFakeServer(t, paced("a", 10, 150*time.Millisecond))
	two := newFakeServer(t, refuseNotRun)
	w := newModelTestEnv(t, one.address, two.address)
	w.reportClosing(1, true)
	calls := make(chan *call, 1)
	front := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		info := w.entry.cfg.Wire.ParseRequest(r)
		cfg := w.entry.cfg.View.Config()
		route := cfg.Route(r.Host, r.URL.Path)
		c := &call{
			entry: w.entry, w: rw, r: r, info: info, route: route, started: time.Now(), deadline: time.Now().Add(timeLimit(info, route)),
			excluded: make(map[string]bool), service: cfg.Service("s"),
		}
		calls <- c
		c.run(r.Context())
	}))
	t.Cleanup(front.Close)
	go func() {
		c := <-calls
		var b *attempt
		for b == nil {
			time.Sleep(time.Millisecond)
			c.mu.Lock()
			if len(c.pending) == 1 {
				// This is what call.start does, without starting the goroutine.
				w.reportClosing(1, false)
				ch, ok := c.entry.choose(c.requirements(), time.Now())
				if !ok {
					t.Error("no second server")
				}
				b = &attempt{call: c, choice: ch, inFlight: ch.upstream.tryAcquire(0, ch.first, 1, time.Now()), primary: c.winner}
				b.ctx, b.cancel = context.WithCancelCause(c.ctx)
				c.sends++
				c.excluded[ch.server.ID] = true
				c.pending = append(c.pending, b)
			}
			c.mu.Unlock()
		}
		for b.callerStream() == nil {
			time.Sleep(time.Millisecond)
		}
		b.run()
	}()
	at, err := eventTimes(t, front.URL, "/stream/a")
	if err != nil || len(at) != 10 {
		t.Fatalf("%d events, %v", len(at), err)
	}
	if pause := longestPause(at); pause > 500*time.Millisecond {
		t.Errorf("a pause of %v between events that were sent every 150 ms: %v", pause, at)
	}
}

// TestStreamStartedAtDeadlineIsNotReportedNotRun checks that a request is not reported as not run once its server has
// begun to respond.
func TestStreamStartedAtDeadlineIsNotReportedNotRun(t *testing.T) {
	t.Parallel()
	one := newFakeServer(t, func(conn net.Conn, n int, r *http.Request) bool {
		time.Sleep(200 * time.Millisecond)
		return streamEvents("a", 6, writeLastChunk)(conn, n, r)
	})
	w := newModelTestEnv(t, one.address)
	up := w.entry.upstreams.preferred("s")[0]
	time.AfterFunc(100*time.Millisecond, func() {
		// Holding the mutex delays the attempt's goroutine.
		up.mu.Lock()
		time.Sleep(400 * time.Millisecond)
		up.mu.Unlock()
	})
	got := w.ask(http.MethodPost, "/stream/once/a", "x", map[string]string{"Wait": "350"})
	if got.status == http.StatusServiceUnavailable {
		t.Errorf("status %d, %q: the request has run and may not be repeated", got.status, got.body)
	}
}

// TestEventsWithoutIDsAreNotPassedTwice checks that a stream that can't be resumed is not moved.
func TestEventsWithoutIDsAreNotPassedTwice(t *testing.T) {
	t.Parallel()
	withoutIDs := func(pause time.Duration) responder {
		return func(conn net.Conn, _ int, _ *http.Request) bool {
			writeRaw(conn, fmt.Sprintf(streamHeader, "a"))
			for i := range 6 {
				time.Sleep(pause)
				writeChunk(conn, fmt.Sprintf("data: e%d\n\n", i+1))
			}
			writeLastChunk(conn)
			return false
		}
	}
	both := firstThen(withoutIDs(200*time.Millisecond), withoutIDs(0))
	one, two := newFakeServer(t, both), newFakeServer(t, both)
	w := newModelTestEnv(t, one.address, two.address)
	time.AfterFunc(300*time.Millisecond, func() { w.reportClosing(min(two.arrivals(), 1), true) })
	got := w.ask(http.MethodPost, "/stream/a", "x", nil)
	want := "data: e1\n\ndata: e2\n\ndata: e3\n\ndata: e4\n\ndata: e5\n\ndata: e6\n\n"
	if got.err != nil || got.body != want {
		t.Errorf("body %q, error %v", got.body, got.err)
	}
}

// TestSlowCallerDoesNotEjectServer checks that a server whose complete response awaits a slow caller does not count
// as silent.
func TestSlowCallerDoesNotEjectServer(t *testing.T) {
	t.Parallel()
	const size = 15 << 20
	one := newFakeServer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
		writeRaw(conn, fmt.Sprintf("HTTP/1.1 200 OK\nId: r1\nSeal: s\nContent-Length: %d\n\n", size))
		_, err := conn.Write(make([]byte, size))
		return err == nil
	})
	w := newTestEnv(t, false, one.address)
	conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	writeRaw(conn, "GET /safe/a HTTP/1.1\nHost: h\nId: r1\n\n")
	time.Sleep(1500 * time.Millisecond)
	up := w.entry.upstreams.preferred("s")[0]
	up.mu.Lock()
	defer up.mu.Unlock()
	if !up.ejectedUntil.IsZero() {
		t.Errorf("ejected with %d failures because its caller reads slowly", up.failures)
	}
}

// TestLongAnswerIsNotSilence checks that a server keeps the request, and is not ejected, while a response that takes
// longer than the silence timeout still makes progress.
func TestLongAnswerIsNotSilence(t *testing.T) {
	t.Parallel()
	const pieces, pause = 8, 300 * time.Millisecond
	slow := func(conn net.Conn, _ int, _ *http.Request) bool {
		writeRaw(conn, fmt.Sprintf("HTTP/1.1 200 OK\nId: r1\nSeal: s\nContent-Length: %d\n\n", pieces))
		for range pieces {
			time.Sleep(pause)
			if !writeRaw(conn, "x") {
				return false
			}
		}
		return true
	}
	one, two := newFakeServer(t, slow), newFakeServer(t, slow)
	w := newTestEnv(t, false, one.address, two.address)
	got := w.ask(http.MethodPost, "/safe/a", "x", nil)
	if got.status != http.StatusOK || len(got.body) != pieces {
		t.Errorf("status %d, %d of %d bytes", got.status, len(got.body), pieces)
	}
	if n := one.arrivals() + two.arrivals(); n != 1 {
		t.Errorf("%d sends, want 1", n)
	}
	for _, up := range w.entry.upstreams.preferred("s") {
		if up.failures > 0 {
			t.Errorf("the server has %d failures, want 0", up.failures)
		}
	}
}

// TestLastAttemptIsNotCancelledAsSilent checks that a silent hedged attempt is not cancelled once it is the only one
// left.
func TestLastAttemptIsNotCancelledAsSilent(t *testing.T) {
	t.Parallel()
	breaksOffLate := streamEvents("a", 0, func(conn net.Conn) {
		for i := 1; i <= 4; i++ {
			time.Sleep(200 * time.Millisecond)
			writeEvents(conn, i, i)
		}
		breakOff(conn)
	})
	// The second server is tried after 500 ms and counts as silent 0.9 s later.
	both := firstThen(breaksOffLate, delayed("b", 1300*time.Millisecond))
	one, two := newFakeServer(t, both), newFakeServer(t, both)
	w := newModelTestEnv(t, one.address, two.address)
	time.AfterFunc(100*time.Millisecond, func() { w.reportClosing(min(two.arrivals(), 1), true) })
	got := w.ask(http.MethodPost, "/stream/a", "x", nil)
	if got.err != nil || got.body != allEvents(6) {
		t.Errorf("body %q, error %v", got.body, got.err)
	}
}

// TestFirstEventWithAnotherVersion checks that a request is answered or refused when no event of the first server's
// stream can be relayed.
func TestFirstEventWithAnotherVersion(t *testing.T) {
	for name, path := range map[string]string{"resumable": "/stream/a", "not resumable": "/stream/once/a"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			both := firstThen(streamEvents("a", 0, func(conn net.Conn) {
				writeChunk(conn, "version: 9\nid: 1\ndata: x\n\n")
				time.Sleep(time.Second)
			}), streamEvents("b", 6, writeLastChunk))
			one, two := newFakeServer(t, both), newFakeServer(t, both)
			w := newModelTestEnv(t, one.address, two.address)
			if got := w.ask(http.MethodPost, path, "x", nil); got.err != nil || got.status == 0 {
				t.Errorf("neither an answer nor a refusal: status %d, body %q, error %v", got.status, got.body, got.err)
			}
		})
	}
}

// TestLogLineNamesRespondingServer checks that the request's log line does not name a server that refused a hedged
// attempt.
func TestLogLineNamesRespondingServer(t *testing.T) {
	t.Parallel()
	both := firstThen(paced("a", 8, 150*time.Millisecond), refuseNotRun)
	one, two := newFakeServer(t, both), newFakeServer(t, both)
	w := newModelTestEnv(t, one.address, two.address)
	lines := memory.New()
	w.entry.log = &log.Logger{Handler: lines, Level: log.InfoLevel}
	first := make(chan int, 1)
	time.AfterFunc(100*time.Millisecond, func() {
		first <- min(two.arrivals(), 1)
		w.reportClosing(min(two.arrivals(), 1), true)
	})
	if got := w.ask(http.MethodPost, "/stream/a", "x", nil); got.body != allEvents(8) || one.arrivals()+two.arrivals() != 2 {
		t.Fatalf("body %q, error %v", got.body, got.err)
	}
	time.Sleep(50 * time.Millisecond)
	want := serverName(<-first)
	for _, line := range lines.Entries {
		if line.Message == "request" && line.Fields["server"] != want {
			t.Errorf("the line names %v, but %v responded", line.Fields["server"], want)
		}
	}
}

// TestRefusingServersAreRetried checks that servers that refused the request are tried again within resumeTimeout.
func TestRefusingServersAreRetried(t *testing.T) {
	t.Parallel()
	both := firstThen(streamEvents("a", 3, breakOff), firstThen(refuseNotRun, streamEvents("b", 6, writeLastChunk)))
	one, two := newFakeServer(t, both), newFakeServer(t, both)
	w := newModelTestEnv(t, one.address, two.address)
	if got := w.ask(http.MethodPost, "/stream/a", "x", nil); got.err != nil || got.body != allEvents(6) {
		t.Errorf("body %q, error %v, requests %d and %d", got.body, got.err, one.arrivals(), two.arrivals())
	}
}
