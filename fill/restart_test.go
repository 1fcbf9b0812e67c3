package fill

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/machine"
)

// restart makes the server start again with nothing loaded; if wiped, it holds no pieces either.
func (e *fakeEngine) restart(startedAt int64, wiped bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startedAt, e.loaded, e.seq, e.neverLoad = startedAt, 0, 0, false
	if wiped {
		e.pieces = nil
	}
}

// TestServerThatStartsAgainIsLoadedAgain checks that every incarnation of a server gets its load order: the box must not
// wait for an order that an earlier incarnation accepted.
func TestServerThatStartsAgainIsLoadedAgain(t *testing.T) {
	for name, test := range map[string]struct {
		// neverLoad makes the first incarnation accept its order without loading; starts are the start times of the later ones.
		neverLoad bool
		wiped     bool
		starts    []int64
	}{
		"while it runs":                         {starts: []int64{2000}},
		"while it runs, without pieces":         {wiped: true, starts: []int64{2000}},
		"between its order and its load":        {neverLoad: true, starts: []int64{2000}},
		"between them, without pieces":          {neverLoad: true, wiped: true, starts: []int64{2000}},
		"twice in a row":                        {neverLoad: true, starts: []int64{2000, 3000}},
		"with a clock that stepped back":        {neverLoad: true, starts: []int64{500}},
		"without a start time, by its count":    {neverLoad: true, starts: []int64{0}},
		"while it runs, without a start time":   {starts: []int64{0}},
		"three times, each time without pieces": {wiped: true, starts: []int64{2000, 3000, 4000}},
		"with its first start time":             {starts: []int64{-1, 2000}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1, 4*time.Second)
			e := s.engines[0]
			e.startedAt, e.neverLoad = 1000, test.neverLoad
			s.start(0, 1)
			for deadline := time.Now().Add(loadTimeLimit); e.orderCount() == 0 && time.Now().Before(deadline); {
				time.Sleep(5 * time.Millisecond)
			}
			for _, start := range test.starts {
				time.Sleep(300 * time.Millisecond)
				e.restart(max(start, 0), test.wiped)
				s.waitLoaded(1, loadTimeLimit)
			}
		})
	}
}

// TestRestartBeforeTheReplyToAnOrder guards against a server that stays empty: it restarted after it took its load order, and the reply
// arrived once the box knew of the restart.
func TestRestartBeforeTheReplyToAnOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoneBox(t)
		l.server.delay = delayCall("order", callDelay{after: 600 * time.Millisecond}, nil)
		l.start(2)
		l.waitFor("an order is taken", func() bool { return l.server.orderCount() > 0 })
		l.server.change(func(s *serverModel) { s.restart(false) })
		l.listServer(100 * time.Millisecond)
		l.check()
	})
}

// TestReportTellsTheLife checks that a new incarnation is reported at once.
func TestReportTellsTheLife(t *testing.T) {
	older := link.Report{Server: "a", Born: 1, Running: 3}
	newer := older
	newer.Born = 2
	if !urgent(newer, older) {
		t.Error("a new incarnation is not reported at once")
	}
	source := &fakeSource{servers: discovery.Servers{Present: []contract.Server{{ID: "a", Address: "127.0.7.1:1"}}}}
	v := discovery.New(source, discovery.Options{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = v.ServeServers(ctx) }()
	for len(v.Servers()) == 0 {
		time.Sleep(time.Millisecond)
	}
	b := New(Config{View: v, Machine: machine.Machine{Address: "127.0.7.1", UpstreamAddress: "127.0.7.1:1"}, Log: log.Log})
	b.setState(State{Born: 7}, nil)
	if report, ok := b.newReport(); !ok || report.Born != 7 {
		t.Errorf("%+v, %t", report, ok)
	}
}
