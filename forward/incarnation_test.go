package forward

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/link"
)

// listedServer returns the list entry of the test's server with a start time and the version that it runs.
func listedServer(born int64, version contract.Version) discovery.ListedServer {
	return discovery.ListedServer{Server: contract.Server{
		ID: serverName(0), Service: "s", Address: "h:1", Slots: 8, Born: born, Loaded: map[string]contract.Version{testModel: version},
	}}
}

// boxReport returns a report of the box of the test's server.
func boxReport(born, version int64) link.Report {
	return link.Report{Server: serverName(0), Model: testModel, Version: version, Born: born, Closing: version == 1}
}

// TestLives checks which incarnation of a server an entry assumes, in whatever order reports and list updates arrive.
func TestLives(t *testing.T) {
	type message func(us *upstreams, now time.Time)
	lists := func(born int64, version contract.Version) message {
		return func(us *upstreams, _ time.Time) { us.update([]discovery.ListedServer{listedServer(born, version)}) }
	}
	reports := func(born, version int64) message {
		return func(us *upstreams, now time.Time) { us.applyReport(boxReport(born, version), now) }
	}
	for name, test := range map[string]struct {
		messages []message
		// replaced says that the state of the first incarnation was discarded; version is the version presumably running, 0 for none.
		replaced bool
		version  contract.Version
	}{
		"one incarnation":                             {[]message{lists(10, 1), reports(10, 1), reports(10, 1), lists(10, 1)}, false, 1},
		"no start times":                              {[]message{lists(0, 1), reports(0, 1), lists(0, 1)}, false, 1},
		"start time missing in the list":              {[]message{lists(0, 1), reports(10, 1), lists(0, 1)}, false, 1},
		"box reports the restart first":               {[]message{lists(10, 1), reports(10, 1), reports(20, 0)}, true, 0},
		"box reports the restart first, list lags":    {[]message{lists(10, 1), reports(10, 1), reports(20, 0), lists(10, 1)}, true, 0},
		"box reports the restart first, list follows": {[]message{lists(10, 1), reports(10, 1), reports(20, 0), lists(10, 1), lists(20, 2), reports(20, 2)}, true, 2},
		"list shows the restart first":                {[]message{lists(10, 1), reports(10, 1), lists(20, 2)}, true, 2},
		"list shows the restart first, late report":   {[]message{lists(10, 1), reports(10, 1), lists(20, 2), reports(10, 1)}, true, 2},
		"late report and list after both":             {[]message{lists(10, 1), reports(10, 1), reports(20, 2), reports(10, 1), lists(10, 1)}, true, 2},
		"two restarts in a row":                       {[]message{lists(10, 1), reports(10, 1), reports(20, 0), reports(30, 2), lists(20, 0), lists(30, 2)}, true, 2},
		"clock stepped back, list first":              {[]message{lists(10, 1), reports(10, 1), lists(5, 2), reports(5, 2)}, true, 2},
		"clock stepped back, box first":               {[]message{lists(10, 1), reports(10, 1), reports(5, 2), lists(5, 2)}, true, 2},
		"clock stepped back, box alone":               {[]message{lists(10, 1), reports(10, 1), reports(5, 2)}, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			us, now := &upstreams{}, time.Now()
			test.messages[0](us, now)
			first := us.byServer(serverName(0))
			first.tryAcquire(100, 0, 1, now)
			first.recordFailure(now)
			first.observeLag(time.Second, now)
			for _, apply := range test.messages[1:] {
				apply(us, now)
			}
			up := us.byServer(serverName(0))
			if up != us.preferred("s")[0] {
				t.Fatal("server is known twice")
			}
			if replaced := up.inFlight == 0 && up.failures == 0 && up.currentLag(now) == 0; replaced != test.replaced {
				t.Errorf("%d requests in flight, %d failures, lag %s, want state discarded %t", up.inFlight, up.failures, up.currentLag(now), test.replaced)
			}
			if got := up.version(testModel, now); got != test.version {
				t.Errorf("version %d, want %d", got, test.version)
			}
			if test.replaced && up.closing(now) {
				t.Error("new incarnation is taken to be closing")
			}
		})
	}
}

// TestRequestsAtALifeThatEnded checks requests whose server restarts while no connection reset reaches the entry: those that may run
// again continue elsewhere at once, the others get a response that does not claim they have not run.
func TestRequestsAtALifeThatEnded(t *testing.T) {
	const restartAfter = 400 * time.Millisecond
	for name, test := range map[string]struct {
		path   string
		status int
		body   string
	}{
		"resumable stream": {"/stream/a", http.StatusOK, allEvents(6)},
		"not repeatable":   {"/stream/once/a", 0, allEvents(3)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hangs := streamEvents("a", 3, func(net.Conn) { time.Sleep(5 * time.Second) })
			both := firstThen(hangs, streamEvents("b", 6, writeLastChunk))
			one, two := newFakeServer(t, both), newFakeServer(t, both)
			w := newModelTestEnv(t, one.address, two.address)
			w.entry.upstreams.update([]discovery.ListedServer{w.listedBorn(0, 10), w.listedBorn(1, 10)})
			time.AfterFunc(restartAfter, func() {
				for i, server := range []*fakeServer{one, two} {
					if server.arrivals() > 0 {
						w.applyReport(i, link.Report{Born: 10})
						w.applyReport(i, link.Report{Born: 20})
					}
				}
			})
			began := time.Now()
			got := w.ask(http.MethodPost, test.path, "x", nil)
			if took := time.Since(began); took > restartAfter+300*time.Millisecond {
				t.Errorf("request took %s", took)
			}
			if got.body != test.body || test.status != 0 && (got.err != nil || got.status != test.status) || test.status == 0 && got.err == nil {
				t.Errorf("status %d, body %q, error %v", got.status, got.body, got.err)
			}
		})
	}
}

// listedBorn returns a server's list entry with a start time.
func (w *testEnv) listedBorn(i int, born int64) discovery.ListedServer {
	for _, server := range w.entry.cfg.View.Servers() {
		if server.ID == serverName(i) {
			server.Born = born
			return server
		}
	}
	w.t.Fatalf("server %d is not listed", i)
	return discovery.ListedServer{}
}
