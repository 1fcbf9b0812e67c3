package forward

import (
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/link"
)

const (
	testModel = "m"
	// testPriority is the priority of the streams' route.
	testPriority = 3
)

// newModelTestEnv returns an entry in front of model servers that run version 1.
func newModelTestEnv(t *testing.T, addresses ...string) *testEnv {
	t.Helper()
	service := contract.Service{Name: "s", MaxConns: 100, Engine: &contract.Engine{
		Slots: 8, Stride: 1, Chunk: 1000, Step: time.Millisecond, ReadRate: 1e5, UsualPrompt: 100, UsualAnswer: 50,
		Models: []contract.Model{{Name: testModel}},
	}}
	routes := []contract.Route{
		{
			Name: "stream", Host: "h", Prefix: "/stream/", Kind: contract.KindStream, TimeLimit: 3 * time.Second, Attempts: 2,
			Goal: 500 * time.Millisecond, PauseGoal: 400 * time.Millisecond, Resumable: true, Priority: testPriority,
		},
		{
			Name: "long stream", Host: "h", Prefix: "/stream/long/", Kind: contract.KindStream, TimeLimit: 8 * time.Second, Attempts: 2,
			Goal: 500 * time.Millisecond, PauseGoal: 400 * time.Millisecond, Resumable: true, Priority: testPriority,
		},
		{
			Name: "stream once", Host: "h", Prefix: "/stream/once/", Kind: contract.KindStream, TimeLimit: 3 * time.Second, Attempts: 2,
			Goal: 500 * time.Millisecond,
		},
	}
	for i := range routes {
		routes[i].Split = []contract.Share{{Service: "s", Weight: 1}}
	}
	cfg := contract.NewConfig(1, contract.Limits{}, routes, []contract.Service{service}, nil)
	source := fixedSource{declared: discovery.Declared{Config: cfg}}
	for i, address := range addresses {
		source.servers.Present = append(source.servers.Present, contract.Server{
			ID: serverName(i), Service: "s", Address: address, Slots: 8, Loaded: map[string]contract.Version{testModel: 1},
		})
	}
	w := newTestEnvFrom(t, source)
	for i := range addresses {
		w.reportClosing(i, false)
	}
	return w
}

func serverName(i int) string { return "server" + strconv.Itoa(i) }

// reportClosing applies a report that says whether a server is closing.
func (w *testEnv) reportClosing(i int, closing bool) {
	w.applyReport(i, link.Report{Closing: closing})
}

// applyReport applies the report of a server's box.
func (w *testEnv) applyReport(i int, report link.Report) {
	report.Server, report.Model, report.Version = serverName(i), testModel, 1
	w.entry.upstreams.applyReport(report, time.Now())
}

// streamWithPause sends events up to first, and those up to to after a pause.
func streamWithPause(seal string, first, to int, pause time.Duration) responder {
	return streamEvents(seal, first, func(conn net.Conn) {
		time.Sleep(pause)
		writeEvents(conn, first+1, to)
		writeLastChunk(conn)
	})
}
