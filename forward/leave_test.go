package forward

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/link"
)

// maxLeaveDelay is the longest time that an entry may take to stop after its last request, even with a keep-alive connection open.
const maxLeaveDelay = 1600 * time.Millisecond

// TestLeavingEntryAnswers checks that a leaving entry still serves keep-alive connections and new ones late in its leave, and stops
// soon after the last request.
func TestLeavingEntryAnswers(t *testing.T) {
	t.Parallel()
	for name, keepAlive := range map[string]bool{"keep-alive connection": true, "new connection": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newLeavingEnv(t, contract.Service{}, 4*time.Second, 6*time.Second, newFakeServer(t, respondOK).address)
			c := w.mustConnect()
			if got := c.ask("/safe/a", ""); got.status != http.StatusOK || got.closes {
				t.Fatalf("status %d, closes %v before the leave", got.status, got.closes)
			}
			w.startLeave()
			time.Sleep(lameDuckTime + 300*time.Millisecond)
			if !keepAlive {
				var err error
				if c, err = w.connect(); err != nil {
					t.Fatalf("no new connection accepted: %v", err)
				}
			}
			checkLastResponse(t, c.ask("/open/b", ""))
			last := time.Now()
			if took := w.awaitLeft().Sub(last); took > maxLeaveDelay {
				t.Errorf("entry stopped %s after its last request", took)
			}
		})
	}
}

// TestLeavingEntryWaitsForKeptConnections checks that an idle connection stays open while its caller may reuse it, and that the entry
// stops soon afterwards, before its deadline.
func TestLeavingEntryWaitsForKeptConnections(t *testing.T) {
	t.Parallel()
	const idle = 4 * time.Second
	w := newLeavingEnv(t, contract.Service{}, idle, 8*time.Second, newFakeServer(t, respondOK).address)
	c := w.mustConnect()
	if got := c.ask("/safe/a", ""); got.status != http.StatusOK {
		t.Fatalf("status %d", got.status)
	}
	used := time.Now()
	w.startLeave()
	_ = c.conn.SetReadDeadline(used.Add(6 * time.Second))
	_, _ = c.conn.Read(make([]byte, 1))
	if idleFor := time.Since(used); idleFor < idle*4/5 || idleFor > idle*4/5+time.Second {
		t.Errorf("connection closed after %s idle, want slightly more than %s", idleFor, idle*4/5)
	}
	if idleFor := w.awaitLeft().Sub(used); idleFor > idle*4/5+time.Second {
		t.Errorf("entry stopped %s after the last request", idleFor)
	}
}

// TestLeavingEntryFinishesInFlightRequests checks that a request which outlasts the lame duck time is answered completely.
func TestLeavingEntryFinishesInFlightRequests(t *testing.T) {
	t.Parallel()
	slow := newFakeServer(t, firstThen(respondOK, withDelay(1500*time.Millisecond, respondOK)))
	w := newLeavingEnv(t, contract.Service{}, 100*time.Millisecond, 6*time.Second, slow.address)
	idle := w.mustConnect()
	if got := idle.ask("/safe/a", ""); got.status != http.StatusOK {
		t.Fatalf("status %d", got.status)
	}
	w.startLeave()
	time.Sleep(lameDuckTime - 500*time.Millisecond)
	c := w.mustConnect()
	checkLastResponse(t, c.ask("/once/two/b", ""))
	last := time.Now()
	if took := w.awaitLeft().Sub(last); took > maxLeaveDelay {
		t.Errorf("entry stopped %s after its last request", took)
	}
	if line := w.line("entry: left"); line == nil {
		t.Error("leave without requests in flight was not logged")
	}
}

// TestLeavingEntryRefusesLongRequests checks that a leaving entry starts only requests predicted to end in time, and tells callers of
// the others to retry at once.
func TestLeavingEntryRefusesLongRequests(t *testing.T) {
	t.Parallel()
	model := contract.Service{Engine: &contract.Engine{
		Slots: 8, Stride: 1, Chunk: 1000, Step: time.Millisecond, ReadRate: 1e5, UsualPrompt: 100, UsualAnswer: 50,
		Models: []contract.Model{{Name: testModel}},
	}}
	for name, test := range map[string]struct {
		service      contract.Service
		path, header string
		// slowdown is the factor by which the server is slower than usual, as its box reports.
		slowdown float64
		started  bool
	}{
		"plain route with a long time limit":  {contract.Service{}, "/safe/a", "", 0, false},
		"plain route with a short time limit": {contract.Service{}, "/short/a", "", 0, true},
		"caller with a short timeout":         {contract.Service{}, "/safe/a", "Wait: 300\r\n", 0, true},
		"long answer of a model":              {model, "/safe/a", "Most: 5000\r\n", 0, false},
		"too long for a slow model":           {model, "/safe/a", "Most: 1500\r\n", 0, false},
		"short answer of a model":             {model, "/safe/a", "Most: 50\r\n", 0, true},
		"short answer of a slowed model":      {model, "/safe/a", "Most: 600\r\n", 2.5, false},
		"short answer of a usual model":       {model, "/safe/a", "Most: 600\r\n", 1, true},
		"usual answer of a model":             {model, "/safe/a", "", 0, true},
		"long answer with a short timeout":    {model, "/safe/a", "Most: 5000\r\nWait: 300\r\n", 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newFakeServer(t, respondOK)
			w := newLeavingEnv(t, test.service, time.Second, 3*time.Second, server.address)
			if test.slowdown > 0 {
				w.applyReport(0, link.Report{Slowdown: test.slowdown})
			}
			w.startLeave()
			got := w.mustConnect().ask(test.path, test.header)
			if test.started {
				checkLastResponse(t, got)
				return
			}
			if got.status != http.StatusServiceUnavailable || server.arrivals() != 0 || !got.closes {
				t.Fatalf("status %d, %d sends, closes %v, %v; want a refusal", got.status, server.arrivals(), got.closes, got.err)
			}
			if !strings.Contains(got.body, outcomeNotRun) || got.header.Get("Retry-After") != "0.100" {
				t.Errorf("answer %q, Retry-After %q", got.body, got.header.Get("Retry-After"))
			}
		})
	}
}

// TestRequestsCutAtTheDeadlineAreLogged checks that requests in flight at the deadline are logged and counted.
func TestRequestsCutAtTheDeadlineAreLogged(t *testing.T) {
	t.Parallel()
	w := newLeavingEnv(t, contract.Service{}, time.Second, 2*time.Second, newFakeServer(t, withDelay(3*time.Second, respondOK)).address)
	c := w.mustConnect()
	if err := c.send("/once/a", ""); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	w.startLeave()
	if got := c.read(); got.err == nil {
		t.Errorf("status %d, want a cut answer", got.status)
	}
	if took := w.awaitLeft().Sub(began); took > 2*time.Second-graceMargin+100*time.Millisecond {
		t.Errorf("entry stopped after %s, past its deadline", took)
	}
	line := w.line("entry: a request is cut")
	if line == nil {
		t.Fatal("cut request was not logged")
	}
	if ms, _ := line.Fields["ms"].(int64); line.Fields["id"] != "r1" || line.Fields["route"] != "once" || ms < 1000 {
		t.Errorf("cut request logged as %v", line.Fields)
	}
	if line := w.line("entry: left with requests in progress"); line == nil || line.Fields["requests"] != 1 {
		t.Errorf("end of the leave logged as %v", line)
	}
}

// TestSecondSignalEndsALeave checks that cancelling a leave stops the entry at once.
func TestSecondSignalEndsALeave(t *testing.T) {
	t.Parallel()
	w := newLeavingEnv(t, contract.Service{}, time.Second, 6*time.Second, newFakeServer(t, withDelay(3*time.Second, respondOK)).address)
	if err := w.mustConnect().send("/once/a", ""); err != nil {
		t.Fatal(err)
	}
	w.startLeave()
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	w.stop()
	if took := w.awaitLeft().Sub(began); took > 500*time.Millisecond {
		t.Errorf("entry stopped after %s", took)
	}
}

// TestRequestsThatCrossTheEnd checks that each request sent around the closing of its connection is answered, refused, or sent to no
// server.
func TestRequestsThatCrossTheEnd(t *testing.T) {
	t.Parallel()
	const (
		callers = 90
		grace   = 2 * time.Second
	)
	server := newFakeServer(t, withDelay(20*time.Millisecond, respondOK))
	w := newLeavingEnv(t, contract.Service{}, time.Minute, grace, server.address)
	conns := make([]*clientConn, callers)
	for i := range conns {
		conns[i] = w.mustConnect()
		if got := conns[i].ask("/short/a", ""); got.err != nil {
			t.Fatal(got.err)
		}
	}
	sent := server.arrivals()
	w.startLeave()
	closes := time.Now().Add(grace - graceMargin - idleCloseMargin)
	var answered, refused, closed, cut atomic.Int32
	var wait sync.WaitGroup
	for i, c := range conns {
		at := closes.Add(time.Duration(i-callers*4/5) * 5 * time.Millisecond)
		wait.Go(func() {
			time.Sleep(time.Until(at))
			switch got := c.ask("/short/a", ""); {
			case got.err == nil && got.body == "hello":
				answered.Add(1)
			case got.err == nil && got.status == http.StatusServiceUnavailable:
				refused.Add(1)
			case got.status == 0:
				closed.Add(1)
			default:
				cut.Add(1)
			}
		})
	}
	wait.Wait()
	w.awaitLeft()
	if n := server.arrivals() - sent; n != int(answered.Load()) || cut.Load() > 0 {
		t.Errorf("%d requests sent to the server, %d answered, %d truncated", n, answered.Load(), cut.Load())
	}
	if answered.Load() == 0 || refused.Load() == 0 || closed.Load() == 0 {
		t.Errorf("%d answered, %d refused, %d closed, want some of each", answered.Load(), refused.Load(), closed.Load())
	}
}

type panicWire struct{ lengthWire }

func (w panicWire) ParseRequest(r *http.Request) RequestInfo {
	if strings.HasPrefix(r.URL.Path, "/panics/") {
		panic("a fault")
	}
	return w.lengthWire.ParseRequest(r)
}

// TestHTTPServerErrorsAreLogged checks that errors of the net/http servers go to the entry's log, and that panics are counted.
func TestHTTPServerErrorsAreLogged(t *testing.T) {
	t.Parallel()
	panics := metrics.GetOrCreateCounter("coralstair_panics_total")
	w := newLeavingEnv(t, contract.Service{}, time.Second, 3*time.Second, newFakeServer(t, respondOK).address)
	w.entry.cfg.Wire = panicWire{}
	before := panics.Get()
	if got := w.mustConnect().ask("/panics/a", ""); got.err == nil {
		t.Errorf("status %d after a panic", got.status)
	}
	checkLogLine(t, w, "entry: the callers' server says", "a fault")
	line := w.line("entry: the callers' server says")
	if stack, _ := line.Fields["stack"].([]string); !strings.Contains(strings.Join(stack, "\n"), "panicWire") {
		t.Errorf("stack lacks the panicking function: %q", stack)
	}
	if n := panics.Get() - before; n != 1 {
		t.Errorf("%d panics counted, want 1", n)
	}
	if w.entry.ready.ErrorLog == nil {
		t.Fatal("ready server has no error log")
	}
	w.entry.ready.ErrorLog.Print("accept failed")
	checkLogLine(t, w, "entry: the balancer's server says", "accept failed")
}

// checkLogLine checks that a message was logged with a one-line cause.
func checkLogLine(t *testing.T, w *leavingEnv, message, cause string) {
	t.Helper()
	line := w.line(message)
	if line == nil {
		t.Fatalf("%q was not logged", message)
	}
	if got, _ := line.Fields["cause"].(string); !strings.Contains(got, cause) || strings.Contains(got, "\n") {
		t.Errorf("cause %q, want %q", got, cause)
	}
}

// TestRefusedRequestIsNotBegunTooLate checks that a request admitted early in a leave and then refused by a server is not retried when
// the retry would not end in time: its response would be cut off at the deadline.
func TestRefusedRequestIsNotBegunTooLate(t *testing.T) {
	t.Parallel()
	model := contract.Service{Engine: &contract.Engine{
		Slots: 8, Stride: 1, Chunk: 1000, Step: time.Millisecond, ReadRate: 1e5, UsualPrompt: 100, UsualAnswer: 50,
		Models: []contract.Model{{Name: testModel}},
	}}
	both := firstThen(withDelay(1400*time.Millisecond, refuseNotRun), respondOK)
	one, two := newFakeServer(t, both), newFakeServer(t, both)
	w := newLeavingEnv(t, model, time.Second, 3*time.Second, one.address, two.address)
	w.startLeave()
	time.Sleep(500 * time.Millisecond)
	got := w.mustConnect().ask("/once/two/a", "")
	if got.status != http.StatusServiceUnavailable || one.arrivals()+two.arrivals() != 1 {
		t.Errorf("status %d, %d sends, want a refusal after one", got.status, one.arrivals()+two.arrivals())
	}
}

// TestLateInALeaveOnlyWhatIsCertainIsBegun checks that after the lame duck time only requests whose own deadline precedes the entry's
// are started: predictions may be wrong, and a stream would be cut off.
func TestLateInALeaveOnlyWhatIsCertainIsBegun(t *testing.T) {
	t.Parallel()
	model := contract.Service{Engine: &contract.Engine{
		Slots: 8, Stride: 1, Chunk: 1000, Step: time.Millisecond, ReadRate: 1e5, UsualPrompt: 100, UsualAnswer: 50,
		Models: []contract.Model{{Name: testModel}},
	}}
	server := newFakeServer(t, respondOK)
	w := newLeavingEnv(t, model, time.Second, 6*time.Second, server.address)
	w.startLeave()
	early, late := w.mustConnect(), w.mustConnect()
	time.Sleep(lameDuckTime - 200*time.Millisecond)
	checkLastResponse(t, early.ask("/safe/a", ""))
	time.Sleep(400 * time.Millisecond)
	got := late.ask("/safe/a", "")
	if got.status != http.StatusServiceUnavailable || server.arrivals() != 1 || got.header.Get("Retry-After") != "0.100" {
		t.Errorf("status %d, %d sends, want a refusal after one", got.status, server.arrivals())
	}
	checkLastResponse(t, w.mustConnect().ask("/safe/a", "Wait: 500\r\n"))
}
