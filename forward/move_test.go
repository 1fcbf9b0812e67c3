package forward

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/view"
)

const engineModel = "m"

// newEngineWorld returns an entry before model servers that run version 1.
func newEngineWorld(t *testing.T, addresses ...string) *world {
	t.Helper()
	service := contract.Service{Name: "s", MaxConns: 100, Engine: &contract.Engine{
		Slots: 8, Stride: 1, Chunk: 1000, Step: time.Millisecond, ReadRate: 1e5, UsualPrompt: 100, UsualAnswer: 50,
		Models: []contract.Model{{Name: engineModel}},
	}}
	routes := []contract.Route{
		{
			Name: "stream", Host: "h", Prefix: "/stream/", Kind: contract.KindStream, TimeLimit: 3 * time.Second, Attempts: 2,
			Goal: 500 * time.Millisecond, PauseGoal: 400 * time.Millisecond, Resumable: true,
		},
		{
			Name: "stream once", Host: "h", Prefix: "/stream/once/", Kind: contract.KindStream, TimeLimit: 3 * time.Second, Attempts: 2,
			Goal: 500 * time.Millisecond,
		},
	}
	for i := range routes {
		routes[i].Split = []contract.Share{{Service: "s", Weight: 1}}
	}
	source := fixedSource{declared: view.Declared{Config: contract.NewConfig(1, contract.Limits{}, routes, []contract.Service{service}, nil)}}
	for i, address := range addresses {
		source.servers.Present = append(source.servers.Present, contract.Server{
			ID: serverName(i), Service: "s", Address: address, Slots: 8, Loaded: map[string]contract.Version{engineModel: 1},
		})
	}
	w := newWorldOf(t, source)
	for i := range addresses {
		w.report(i, false)
	}
	return w
}

func serverName(i int) string { return "server" + string(rune('0'+i)) }

// report has the box of a server say whether it closes.
func (w *world) report(i int, closing bool) {
	w.entry.upstreams.heard(link.Report{Server: serverName(i), Model: engineModel, Version: 1, Closing: closing}, time.Now())
}

// pausing streams as much as it says, and the rest after a pause.
func pausing(seal string, first, to int, pause time.Duration) answering {
	return streaming(seal, first, func(conn net.Conn) {
		time.Sleep(pause)
		events(conn, first+1, to)
		finish(conn)
	})
}

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

func TestPick(t *testing.T) {
	const adds = 50 * time.Millisecond
	offers := func(costs ...time.Duration) []choice {
		var of []choice
		for i, cost := range costs {
			of = append(of, choice{server: contract.Server{ID: serverName(i)}, cost: cost * time.Millisecond})
		}
		return of
	}
	for name, test := range map[string]struct {
		offers []choice
		unseen float64
		// least and most are the shares of 1,000 requests that the first server may get.
		least, most int
	}{
		"alone, the best":                          {offers(100, 101, 300), 1, 990, 1000},
		"alike, evenly":                            {offers(100, 100, 100, 100), 8, 200, 300},
		"one that is idle gets what fills it":      {offers(0, 200, 200, 200), 4, 990, 1000},
		"and the others what is more than that":    {offers(0, 100, 100, 100), 10, 350, 450},
		"one that is far more costly gets nothing": {offers(900, 100, 100), 4, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			taken := 0
			for range 1000 {
				if pick(test.offers, test.unseen, adds).server.ID == serverName(0) {
					taken++
				}
			}
			if taken < test.least || taken > test.most {
				t.Errorf("taken %d times of 1000, want %d to %d", taken, test.least, test.most)
			}
		})
	}
}

func TestMarginFollowsTheWay(t *testing.T) {
	ways := func(ago time.Duration, took ...time.Duration) func(now time.Time) way {
		return func(now time.Time) way {
			w := way{}
			for _, one := range took {
				w = w.with(one*time.Millisecond, now.Add(-ago))
			}
			return w
		}
	}
	for name, test := range map[string]struct {
		filled  bool
		way     func(now time.Time) way
		overdue bool
	}{
		"filled":                           {true, ways(0), false},
		"not filled, the way not measured": {false, ways(0), true},
		"a quick way":                      {false, ways(0, 20, 30), false},
		"one that was slow a moment ago":   {false, ways(0, 300, 20, 20), true},
		"one that was slow long ago":       {false, ways(0, 300, 20, 20, 20, 20, 20, 20, 20), false},
		"measured long ago":                {false, ways(time.Minute, 20), true},
		"one that has not come back": {false, func(now time.Time) way {
			w := ways(0, 20)(now)
			w.asked = now.Add(-time.Second)
			return w
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newEngineWorld(t, "127.0.0.1:1")
			w.entry.cfg.View.OfferTarget(contract.Target{Model: engineModel, Version: 2}, 0)
			due, _ := w.entry.cfg.View.Due(engineModel, 1)
			up := w.entry.upstreams.byServer(serverName(0))
			now := due.Add(-1500 * time.Millisecond)
			up.reportAt, up.report.Filled, up.way = now, test.filled, test.way(now)
			if got := w.entry.overdue(up, engineModel, choice{version: 1}, now); got != test.overdue {
				t.Errorf("overdue %t, want %t", got, test.overdue)
			}
		})
	}
}

func TestHeldByTheWay(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		way         way
		least, most time.Duration
	}{
		"not measured":             {way{}, 0, 0},
		"quick":                    {way{}.with(30*time.Millisecond, now), 0, 0},
		"slow":                     {way{}.with(700*time.Millisecond, now), 700 * time.Millisecond, 700 * time.Millisecond},
		"slow, but long ago":       {way{}.with(700*time.Millisecond, now.Add(-time.Minute)), 0, 0},
		"quick, and now held":      {way{at: now, n: 1, asked: now.Add(-2 * time.Second)}, 2 * time.Second, 2 * time.Second},
		"held since the beginning": {way{asked: now.Add(-3 * time.Second)}, 3 * time.Second, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			if got := test.way.held(now); got < test.least || got > test.most {
				t.Errorf("held for %s, want %s to %s", got, test.least, test.most)
			}
		})
	}
}

func TestAJammedServerGetsNothingNearTheBound(t *testing.T) {
	w := newEngineWorld(t, "127.0.0.1:1")
	w.entry.cfg.View.OfferTarget(contract.Target{Model: engineModel, Version: 2}, 0)
	due, _ := w.entry.cfg.View.Due(engineModel, 1)
	up := w.entry.upstreams.byServer(serverName(0))
	now := due.Add(-3200 * time.Millisecond)
	want := wanted{service: w.entry.cfg.View.Config().Service("s"), model: engineModel, prompt: 100}
	up.reportAt = now
	if _, ok := w.entry.choose(want, now); !ok {
		t.Fatal("a server gets nothing 3.2 s before the bound")
	}
	up.way.asked = now.Add(-time.Second)
	if _, ok := w.entry.choose(want, now); ok {
		t.Error("a server to which the way is held up for a second gets a request 3.2 s before the bound")
	}
}

func TestRefusalsFollowTheProgress(t *testing.T) {
	w := newEngineWorld(t, "127.0.0.1:1", "127.0.0.1:2")
	for i := range 2 {
		w.entry.upstreams.heard(link.Report{Server: serverName(i), Ready: 5 * time.Second}, time.Now())
	}
	got := w.ask(http.MethodPost, "/stream/a", "x", nil)
	after := got.header.Get("Retry-After")
	if got.status != http.StatusServiceUnavailable || after < "5" || strings.HasPrefix(after, "7") {
		t.Errorf("status %d, come back after %s, want 5 to 7 s", got.status, after)
	}
}
