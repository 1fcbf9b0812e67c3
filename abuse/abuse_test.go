package abuse

import (
	"context"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/coralstair/coralstair/lab/crowd"
)

// enableEnv is the environment variable that enables these tests. They run one after another and apart from others, since they check the
// memory of processes.
const enableEnv = "CORALSTAIR_ABUSE"

const (
	clients = 1000
	// holdTime is how long a crowd stays before and after an ordinary request.
	holdTime       = 2 * time.Second
	sampleInterval = 100 * time.Millisecond
	// askLimit and recoveryLimit only end a test whose process does not serve or recover.
	askLimit      = 30 * time.Second
	recoveryLimit = 60 * time.Second
	// spareDescriptors is how many more descriptors than before may be open after a crowd: idle connections to servers and the store.
	spareDescriptors = 64
)

// target is a listener under test.
type target struct {
	process *process
	address string
	// memoryMB bounds the resident memory and the unread bytes.
	memoryMB int
	// ask sends an ordinary request, and askOther one by way of another listener, which must not be affected either.
	ask, askOther func(ctx context.Context) error
}

func TestClientsOfCallersPort(t *testing.T) {
	play(t, crowd.Requests{Host: host, Path: lookPath, AheadPath: "/unknown/", Fields: fields()}.Kinds(), func(t *testing.T) target {
		f := newFleet(t)
		return target{process: f.entry, address: f.entryAddr, memoryMB: memoryMB, ask: f.ask, askOther: get(f.readyAddr, "/ready")}
	})
}

func TestClientsOfReadyPort(t *testing.T) {
	play(t, requestsTo("/ready").Kinds(), func(t *testing.T) target {
		f := newFleet(t)
		return target{process: f.entry, address: f.readyAddr, memoryMB: memoryMB, ask: get(f.readyAddr, "/ready"), askOther: f.ask}
	})
}

func TestClientsOfEntryLinks(t *testing.T) {
	play(t, linkKinds(), func(t *testing.T) target {
		f := newFleet(t)
		return target{process: f.entry, address: f.entryLinks, memoryMB: memoryMB, ask: f.askEntryLink, askOther: f.ask}
	})
}

func TestClientsOfEntryMetrics(t *testing.T) {
	play(t, requestsTo("/metrics").Kinds(), func(t *testing.T) target {
		f := newFleet(t)
		return target{process: f.entry, address: f.entryMetrics, memoryMB: memoryMB, ask: get(f.entryMetrics, "/metrics"), askOther: f.ask}
	})
}

func TestClientsOfBoxLinks(t *testing.T) {
	kinds := linkKinds()
	delete(kinds, crowd.RequestsAhead)
	play(t, kinds, newBoxLinks)
}

// TestRequestsAheadAtBoxLinks plays the kind that TestClientsOfBoxLinks leaves out.
func TestRequestsAheadAtBoxLinks(t *testing.T) {
	play(t, map[string]crowd.Kind{crowd.RequestsAhead: linkKinds()[crowd.RequestsAhead]}, newBoxLinks)
}

// newBoxLinks returns the listener of a box for links.
func newBoxLinks(t *testing.T) target {
	t.Helper()
	f := newFleet(t)
	return target{process: f.box, address: f.boxAddr, memoryMB: memoryMB, ask: f.askBox, askOther: f.ask}
}

func TestClientsOfBoxMetrics(t *testing.T) {
	play(t, requestsTo("/metrics").Kinds(), func(t *testing.T) target {
		f := newFleet(t)
		return target{process: f.box, address: f.boxMetrics, memoryMB: memoryMB, ask: get(f.boxMetrics, "/metrics"), askOther: f.askBox}
	})
}

func TestClientsOfOwnEntry(t *testing.T) {
	kinds := crowd.Requests{Host: host, Path: ownPath, AheadPath: "/healthz", Fields: "Authorization: Bearer " + key + "\r\n"}.Kinds()
	maps.Copy(kinds, crowd.HTTP2(ownPath, key))
	play(t, kinds, func(t *testing.T) target {
		s := newService(t)
		return target{process: s.entry, address: s.entryAddr, memoryMB: ownMemoryMB, ask: s.ask, askOther: get(s.boxAddr, "/healthz")}
	})
}

func TestClientsOfOwnBox(t *testing.T) {
	play(t, linkKinds(), func(t *testing.T) target {
		s := newService(t)
		return target{process: s.box, address: s.boxAddr, memoryMB: ownMemoryMB, ask: get(s.boxAddr, "/healthz"), askOther: s.ask}
	})
}

// requestsTo returns requests to a path.
func requestsTo(path string) crowd.Requests {
	return crowd.Requests{Host: host, Path: path, AheadPath: path}
}

// linkKinds returns the kinds of clients of a listener for links.
func linkKinds() map[string]crowd.Kind {
	kinds := requestsTo("/link").Kinds()
	maps.Copy(kinds, crowd.Link())
	return kinds
}

// play plays a crowd of each kind against a target of its own.
func play(t *testing.T, kinds map[string]crowd.Kind, newTarget func(t *testing.T) target) {
	t.Helper()
	skipUnlessApart(t)
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		t.Run(name, func(t *testing.T) { newTarget(t).withstand(t, kinds[name]) })
	}
}

// skipUnlessApart skips a test that has to run apart from others.
func skipUnlessApart(t *testing.T) {
	t.Helper()
	if os.Getenv(enableEnv) == "" {
		t.Skipf("these tests run apart: %s=1 go test -count=1 ./abuse", enableEnv)
	}
}

// withstand checks that the process lives, keeps to its limits and serves ordinary clients while a crowd is there and afterwards.
func (g target) withstand(t *testing.T, kind crowd.Kind) {
	t.Helper()
	before := g.process.descriptors()
	watch := g.watch(t)
	c := crowd.Start(g.address, kind, clients)
	time.Sleep(holdTime)
	g.checkServes(t, "while the crowd is there")
	time.Sleep(holdTime)
	c.Stop()
	g.checkServes(t, "afterwards")
	left := g.awaitDescriptors(before + spareDescriptors)
	held, open := watch()
	t.Logf("at most %d MB and %d descriptors; %d descriptors before, %d afterwards", held>>20, open, before, left)
	if held > int64(g.memoryMB)<<20 {
		t.Errorf("%d MB of memory and unread bytes, at most %d may be", held>>20, g.memoryMB)
	}
	if open > descriptors {
		t.Errorf("%d descriptors are open, at most %d may be", open, descriptors)
	}
	if left > before+spareDescriptors {
		t.Errorf("%d descriptors are still open after the crowd, %d were before", left, before)
	}
	if !g.process.alive() {
		t.Errorf("the process has ended:\n%s", g.process.lastLines())
	}
}

// checkServes checks that ordinary requests are answered, also at another listener.
func (g target) checkServes(t *testing.T, when string) {
	t.Helper()
	for listener, ask := range map[string]func(ctx context.Context) error{"this": g.ask, "another": g.askOther} {
		if !g.process.alive() {
			return
		}
		if err := eventually(t.Context(), askLimit, ask); err != nil {
			t.Errorf("no ordinary request at %s listener is answered %s: %v", listener, when, err)
		}
	}
}

// watch samples the process until the returned function is called, which returns the most memory with unread bytes and the most descriptors.
func (g target) watch(t *testing.T) (stop func() (held int64, open int)) {
	t.Helper()
	local, done, ended := hexAddress(t, g.address), make(chan struct{}), make(chan struct{})
	var held int64
	var open int
	go func() {
		defer close(ended)
		for {
			held = max(held, g.process.resident()+unread(local))
			open = max(open, g.process.descriptors())
			select {
			case <-done:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return func() (int64, int) {
		close(done)
		<-ended
		return held, open
	}
}

// awaitDescriptors waits until at most that many descriptors are open and returns how many are.
func (g target) awaitDescriptors(most int) int {
	deadline := time.Now().Add(recoveryLimit)
	for g.process.descriptors() > most && time.Now().Before(deadline) {
		time.Sleep(sampleInterval)
	}
	return g.process.descriptors()
}
