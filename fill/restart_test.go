package fill

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/machine"
	"github.com/coralstair/coralstair/view"
)

// What was read: a server that had taken its order to load and started again before it had loaded was never given another. Its
// box held on to the order of the life that had ended.

// restart has the server begin a new life that runs nothing; wiped, it holds no pieces either.
func (e *fakeEngine) restart(born int64, wiped bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born, e.loaded, e.seq, e.lag = born, 0, 0, false
	if wiped {
		e.pieces = nil
	}
}

// TestServerThatStartsAgainIsLoadedAgain proves that the box brings each new life of its server to the version that should run.
func TestServerThatStartsAgainIsLoadedAgain(t *testing.T) {
	for name, test := range map[string]struct {
		// lag has the server take its order and not load; births are those of its lives after the first.
		lag    bool
		wiped  bool
		births []int64
	}{
		"while it runs":                         {births: []int64{2000}},
		"while it runs, and holds nothing":      {wiped: true, births: []int64{2000}},
		"between its order and its load":        {lag: true, births: []int64{2000}},
		"between them, and holds nothing":       {lag: true, wiped: true, births: []int64{2000}},
		"twice in a row":                        {lag: true, births: []int64{2000, 3000}},
		"with a clock that stepped back":        {lag: true, births: []int64{500}},
		"without a birth, by its count alone":   {lag: true, births: []int64{0}},
		"while it runs, and tells no birth":     {births: []int64{0}},
		"three times, each holding nothing":     {wiped: true, births: []int64{2000, 3000, 4000}},
		"with a birth where there was none yet": {births: []int64{-1, 2000}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1, 4*time.Second)
			e := s.engines[0]
			e.born, e.lag = 1000, test.lag
			s.start(0, 1)
			for deadline := time.Now().Add(fillLimit); e.taken() == 0 && time.Now().Before(deadline); {
				time.Sleep(5 * time.Millisecond)
			}
			for _, born := range test.births {
				time.Sleep(300 * time.Millisecond)
				e.restart(max(born, 0), test.wiped)
				s.wait(1, fillLimit)
			}
		})
	}
}

// TestReportTellsTheLife proves that entries hear at once of which life a box speaks.
func TestReportTellsTheLife(t *testing.T) {
	older := link.Report{Server: "a", Born: 1, Running: 3}
	newer := older
	newer.Born = 2
	if !urgent(newer, older) {
		t.Error("a new life is not told at once")
	}
	source := &fakeSource{servers: view.Servers{Present: []contract.Server{{ID: "a", Address: "127.0.7.1:1"}}}}
	v := view.New(source, view.Options{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = v.ServeServers(ctx) }()
	for len(v.Servers()) == 0 {
		time.Sleep(time.Millisecond)
	}
	b := New(Config{View: v, Machine: machine.Machine{Address: "127.0.7.1", UpstreamAt: "127.0.7.1:1"}, Log: log.Log})
	b.setState(State{Born: 7}, nil)
	if report, ok := b.newReport(); !ok || report.Born != 7 {
		t.Errorf("%+v, %t", report, ok)
	}
}
