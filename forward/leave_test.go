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
)

// soon is how long after its last request at most an entry may take to end, also with a kept connection.
const soon = 1600 * time.Millisecond

// TestLeavingEntryAnswers proves that an entry answers also late in its leave, on connections that callers keep and, while there
// are such, on new ones, and ends soon after the last.
func TestLeavingEntryAnswers(t *testing.T) {
	t.Parallel()
	for name, kept := range map[string]bool{"on a kept connection": true, "on a new connection": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newLeavingWorld(t, contract.Service{}, 4*time.Second, 6*time.Second, newFake(t, good).address)
			c := w.mustConnect()
			if got := c.ask("/safe/a", ""); got.status != http.StatusOK || got.closes {
				t.Fatalf("status %d, closes %v before the leave", got.status, got.closes)
			}
			w.leave()
			time.Sleep(lameTime + 300*time.Millisecond)
			if !kept {
				var err error
				if c, err = w.connect(); err != nil {
					t.Fatalf("no new connection is taken: %v", err)
				}
			}
			wantLastAnswer(t, c.ask("/open/b", ""))
			last := time.Now()
			if took := w.ended().Sub(last); took > soon {
				t.Errorf("the entry ends %s after its last request", took)
			}
		})
	}
}

// TestLeavingEntryWaitsForKeptConnections proves that a connection on which a request may still come stays open, and that the
// entry ends soon after none may come any more, before its deadline.
func TestLeavingEntryWaitsForKeptConnections(t *testing.T) {
	t.Parallel()
	const idle = 4 * time.Second
	w := newLeavingWorld(t, contract.Service{}, idle, 8*time.Second, newFake(t, good).address)
	c := w.mustConnect()
	if got := c.ask("/safe/a", ""); got.status != http.StatusOK {
		t.Fatalf("status %d", got.status)
	}
	used := time.Now()
	w.leave()
	_ = c.conn.SetReadDeadline(used.Add(6 * time.Second))
	_, _ = c.conn.Read(make([]byte, 1))
	if rested := time.Since(used); rested < idle*4/5 || rested > idle*4/5+time.Second {
		t.Errorf("the connection closes after a rest of %s, want a little more than %s", rested, idle*4/5)
	}
	if rested := w.ended().Sub(used); rested > idle*4/5+time.Second {
		t.Errorf("the entry ends %s after the last request", rested)
	}
}

// TestLeavingEntryFinishesWhatIsInProgress proves that a request which takes longer than the rest of a leave without it is
// answered whole, beside a connection that rests.
func TestLeavingEntryFinishesWhatIsInProgress(t *testing.T) {
	t.Parallel()
	slow := newFake(t, firstThen(good, after(1500*time.Millisecond, good)))
	w := newLeavingWorld(t, contract.Service{}, 100*time.Millisecond, 6*time.Second, slow.address)
	rests := w.mustConnect()
	if got := rests.ask("/safe/a", ""); got.status != http.StatusOK {
		t.Fatalf("status %d", got.status)
	}
	w.leave()
	time.Sleep(lameTime - 500*time.Millisecond)
	c := w.mustConnect()
	wantLastAnswer(t, c.ask("/once/two/b", ""))
	last := time.Now()
	if took := w.ended().Sub(last); took > soon {
		t.Errorf("the entry ends %s after its last request", took)
	}
	if line := w.line("entry: left"); line == nil {
		t.Error("the log does not say that the entry left with nothing in progress")
	}
}

// TestLeavingEntryRefusesWhatWouldNotEnd proves that a leaving entry begins only what is predicted to end before it does, and
// tells callers of the rest to come back at once.
func TestLeavingEntryRefusesWhatWouldNotEnd(t *testing.T) {
	t.Parallel()
	model := contract.Service{Engine: &contract.Engine{
		Slots: 8, Stride: 1, Chunk: 1000, Step: time.Millisecond, ReadRate: 1e5, UsualPrompt: 100, UsualAnswer: 50,
		Models: []contract.Model{{Name: engineModel}},
	}}
	for name, test := range map[string]struct {
		service      contract.Service
		path, header string
		begun        bool
	}{
		"a plain route that may take longer": {contract.Service{}, "/safe/a", "", false},
		"a plain route that ends in time":    {contract.Service{}, "/short/a", "", true},
		"a caller that waits a short time":   {contract.Service{}, "/safe/a", "Wait: 300\r\n", true},
		"a long answer of a model":           {model, "/safe/a", "Most: 5000\r\n", false},
		"a short answer of a model":          {model, "/safe/a", "Most: 50\r\n", true},
		"a usual answer of a model":          {model, "/safe/a", "", true},
		"a long answer in a short time":      {model, "/safe/a", "Most: 5000\r\nWait: 300\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newFake(t, good)
			w := newLeavingWorld(t, test.service, time.Second, 3*time.Second, server.address)
			w.leave()
			got := w.mustConnect().ask(test.path, test.header)
			if test.begun {
				wantLastAnswer(t, got)
				return
			}
			if got.status != http.StatusServiceUnavailable || server.arrivals() != 0 || !got.closes {
				t.Fatalf("status %d, %d sends, closes %v, %v; want a refusal", got.status, server.arrivals(), got.closes, got.err)
			}
			if !strings.Contains(got.body, outcomeNotRun) || got.header.Get("Retry-After") != "0.100" {
				t.Errorf("answer %q, to come back after %q", got.body, got.header.Get("Retry-After"))
			}
		})
	}
}

// TestRequestsCutAtTheDeadlineAreLogged proves that what is still in progress at the deadline is named in the log and counted.
func TestRequestsCutAtTheDeadlineAreLogged(t *testing.T) {
	t.Parallel()
	w := newLeavingWorld(t, contract.Service{}, time.Second, 2*time.Second, newFake(t, after(3*time.Second, good)).address)
	c := w.mustConnect()
	if err := c.send("/once/a", ""); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	w.leave()
	if got := c.read(); got.err == nil {
		t.Errorf("status %d, want a cut answer", got.status)
	}
	if took := w.ended().Sub(began); took > 2*time.Second-graceMargin+100*time.Millisecond {
		t.Errorf("the entry ends after %s, past its deadline", took)
	}
	line := w.line("entry: a request is cut")
	if line == nil {
		t.Fatal("the cut request is not in the log")
	}
	if ms, _ := line.Fields["ms"].(int64); line.Fields["id"] != "r1" || line.Fields["route"] != "once" || ms < 1000 {
		t.Errorf("the cut request is logged as %v", line.Fields)
	}
	if line := w.line("entry: left with requests in progress"); line == nil || line.Fields["requests"] != 1 {
		t.Errorf("the end is logged as %v", line)
	}
}

// TestSecondSignalEndsALeave proves that a leave which is told to stop ends at once.
func TestSecondSignalEndsALeave(t *testing.T) {
	t.Parallel()
	w := newLeavingWorld(t, contract.Service{}, time.Second, 6*time.Second, newFake(t, after(3*time.Second, good)).address)
	if err := w.mustConnect().send("/once/a", ""); err != nil {
		t.Fatal(err)
	}
	w.leave()
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	w.stop()
	if took := w.ended().Sub(began); took > 500*time.Millisecond {
		t.Errorf("the entry ends after %s", took)
	}
}

// TestRequestsThatCrossTheEnd proves that of requests which come around the closing of their connections each is answered, refused
// or was sent to no server.
func TestRequestsThatCrossTheEnd(t *testing.T) {
	t.Parallel()
	const (
		callers = 90
		grace   = 2 * time.Second
	)
	server := newFake(t, after(20*time.Millisecond, good))
	w := newLeavingWorld(t, contract.Service{}, time.Minute, grace, server.address)
	kept := make([]*caller, callers)
	for i := range kept {
		kept[i] = w.mustConnect()
		if got := kept[i].ask("/short/a", ""); got.err != nil {
			t.Fatal(got.err)
		}
	}
	sent := server.arrivals()
	w.leave()
	closes := time.Now().Add(grace - graceMargin - closingTime)
	var answered, refused, closed, torn atomic.Int32
	var wait sync.WaitGroup
	for i, c := range kept {
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
				torn.Add(1)
			}
		})
	}
	wait.Wait()
	w.ended()
	if n := server.arrivals() - sent; n != int(answered.Load()) || torn.Load() > 0 {
		t.Errorf("%d requests sent on, %d answered, %d torn", n, answered.Load(), torn.Load())
	}
	if answered.Load() == 0 || refused.Load() == 0 || closed.Load() == 0 {
		t.Errorf("%d answered, %d refused, %d closed: nothing crosses", answered.Load(), refused.Load(), closed.Load())
	}
}

// panicWire panics at a path.
type panicWire struct{ lengthWire }

func (w panicWire) Ask(r *http.Request) Ask {
	if strings.HasPrefix(r.URL.Path, "/panics/") {
		panic("a fault")
	}
	return w.lengthWire.Ask(r)
}

// TestServersLinesAreStructured proves that what net/http says stands in the entry's log, and that a panic is counted.
func TestServersLinesAreStructured(t *testing.T) {
	t.Parallel()
	panics := metrics.GetOrCreateCounter("coralstair_panics_total")
	w := newLeavingWorld(t, contract.Service{}, time.Second, 3*time.Second, newFake(t, good).address)
	w.entry.cfg.Wire = panicWire{}
	before := panics.Get()
	if got := w.mustConnect().ask("/panics/a", ""); got.err == nil {
		t.Errorf("status %d after a panic", got.status)
	}
	wantLine(t, w, "entry: the callers' server says", "a fault")
	line := w.line("entry: the callers' server says")
	if stack, _ := line.Fields["stack"].([]string); !strings.Contains(strings.Join(stack, "\n"), "panicWire") {
		t.Errorf("the stack does not tell where: %q", stack)
	}
	if n := panics.Get() - before; n != 1 {
		t.Errorf("%d panics counted, want 1", n)
	}
	if w.entry.ready.ErrorLog == nil {
		t.Fatal("the ready server's lines are not in the log")
	}
	w.entry.ready.ErrorLog.Print("accept failed")
	wantLine(t, w, "entry: the balancer's server says", "accept failed")
}

// wantLine proves that a line stands in the entry's log with a cause in one line of text.
func wantLine(t *testing.T, w *leavingWorld, message, cause string) {
	t.Helper()
	line := w.line(message)
	if line == nil {
		t.Fatalf("%q is not in the log", message)
	}
	if got, _ := line.Fields["cause"].(string); !strings.Contains(got, cause) || strings.Contains(got, "\n") {
		t.Errorf("cause %q, want %q", got, cause)
	}
}

// TestRefusedRequestIsNotBegunTooLate proves that a request that was let in early in a leave, and that a server has refused since,
// is refused by the entry when it would not end in time any more: begun nonetheless, its answer was cut at the deadline.
func TestRefusedRequestIsNotBegunTooLate(t *testing.T) {
	t.Parallel()
	model := contract.Service{Engine: &contract.Engine{
		Slots: 8, Stride: 1, Chunk: 1000, Step: time.Millisecond, ReadRate: 1e5, UsualPrompt: 100, UsualAnswer: 50,
		Models: []contract.Model{{Name: engineModel}},
	}}
	both := firstThen(after(1400*time.Millisecond, refusing), good)
	one, two := newFake(t, both), newFake(t, both)
	w := newLeavingWorld(t, model, time.Second, 3*time.Second, one.address, two.address)
	w.leave()
	time.Sleep(500 * time.Millisecond)
	got := w.mustConnect().ask("/once/two/a", "")
	if got.status != http.StatusServiceUnavailable || one.arrivals()+two.arrivals() != 1 {
		t.Errorf("status %d, %d sends, want a refusal after one", got.status, one.arrivals()+two.arrivals())
	}
}

// TestLateInALeaveOnlyWhatIsCertainIsBegun proves that once the balancer has had time to hear of the leave a request is begun only
// if its own time ends before the entry does: a stream that was let in 4.4 s after the signal, since it was predicted to end, was
// cut 3.1 s later.
func TestLateInALeaveOnlyWhatIsCertainIsBegun(t *testing.T) {
	t.Parallel()
	model := contract.Service{Engine: &contract.Engine{
		Slots: 8, Stride: 1, Chunk: 1000, Step: time.Millisecond, ReadRate: 1e5, UsualPrompt: 100, UsualAnswer: 50,
		Models: []contract.Model{{Name: engineModel}},
	}}
	server := newFake(t, good)
	w := newLeavingWorld(t, model, time.Second, 6*time.Second, server.address)
	w.leave()
	early, late := w.mustConnect(), w.mustConnect()
	time.Sleep(lameTime - 200*time.Millisecond)
	wantLastAnswer(t, early.ask("/safe/a", ""))
	time.Sleep(400 * time.Millisecond)
	got := late.ask("/safe/a", "")
	if got.status != http.StatusServiceUnavailable || server.arrivals() != 1 || got.header.Get("Retry-After") != "0.100" {
		t.Errorf("status %d, %d sends, want a refusal after one", got.status, server.arrivals())
	}
	wantLastAnswer(t, w.mustConnect().ask("/safe/a", "Wait: 500\r\n"))
}
