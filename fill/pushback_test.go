package fill

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/machine"
	"github.com/coralstair/coralstair/pushback"
)

// TestReportsCarryPushback checks that reports carry the server's pushback, and that a change is reported at once.
func TestReportsCarryPushback(t *testing.T) {
	source := &fakeSource{servers: discovery.Servers{Present: []contract.Server{{ID: "a", Address: "127.0.7.2:1"}}}}
	v := discovery.New(source, discovery.Options{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = v.ServeServers(ctx) }()
	for len(v.Servers()) == 0 {
		time.Sleep(time.Millisecond)
	}
	for name, test := range map[string]struct {
		signal pushback.Signal
		urgent bool
	}{
		"nothing": {},
		"leaving": {pushback.Signal{Leaving: true}, true},
		"a limit": {pushback.Signal{Limited: true, Limit: 2}, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(Config{View: v, Machine: machine.Machine{Address: "127.0.7.2", UpstreamAddress: "127.0.7.2:1"}, Log: log.Log})
			b.setState(State{Pushback: test.signal}, nil)
			report, ok := b.newReport()
			if !ok || report.Leaving != test.signal.Leaving || report.Limited != test.signal.Limited || report.Limit != test.signal.Limit {
				t.Errorf("reported %+v, %t", report, ok)
			}
			if got := urgent(report, link.Report{Server: report.Server}); got != test.urgent {
				t.Errorf("reported at once: %t, want %t", got, test.urgent)
			}
		})
	}
}
