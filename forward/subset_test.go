package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/link"
)

// newSubsetEnv returns an entry and a list of servers spread over sites, each at a box of its own.
func newSubsetEnv(t *testing.T, servers, sites int) (*testEnv, []discovery.ListedServer) {
	t.Helper()
	w := newModelTestEnv(t, "10.0.0.1:1")
	w.entry.cfg.Machine.Site = "site0"
	var listed []discovery.ListedServer
	for i := range servers {
		listed = append(listed, discovery.ListedServer{Server: contract.Server{
			ID: serverName(i), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200+1), Site: fmt.Sprint("site", i%sites), Slots: 8,
			Loaded: map[string]contract.Version{testModel: 1},
		}})
	}
	w.entry.upstreams.update(listed)
	return w, listed
}

// TestEntryUsesServerSubset checks that an entry of a large fleet uses and links to a bounded number of servers, and uses the others
// only when none of these can take a request.
func TestEntryUsesServerSubset(t *testing.T) {
	for name, test := range map[string]struct {
		servers, sites int
		size           int
	}{
		"small fleet":      {20, 3, 20},
		"large fleet":      {204, 5, 40},
		"very large fleet": {800, 5, 40},
	} {
		t.Run(name, func(t *testing.T) {
			w, listed := newSubsetEnv(t, test.servers, test.sites)
			if n := len(w.entry.upstreams.preferred("s")); n != test.size {
				t.Errorf("subset of %d servers before other entries are known, want %d", n, test.size)
			}
			w.entry.startedAt = w.entry.startedAt.Add(-entryCountDelay)
			w.entry.budget.SetEntries(test.servers, clock.Now())
			w.entry.upstreams.update(listed)
			preferred := w.entry.upstreams.preferred("s")
			if len(preferred) != test.size {
				t.Fatalf("subset of %d servers, want %d", len(preferred), test.size)
			}
			wanted, _ := w.entry.boxLinks.wantedLinks(w.entry.cfg.View.Config())
			if len(wanted) != test.size {
				t.Errorf("links to %d boxes, want %d", len(wanted), test.size)
			}
			want := shortRequest(w)
			ch, ok := w.entry.choose(want, time.Now())
			if !ok || ch.candidates != test.size {
				t.Errorf("server chosen: %t, among %d servers, want %d", ok, ch.candidates, test.size)
			}
			want.excluded = make(map[string]bool)
			for _, up := range preferred {
				want.excluded[up.server.ID] = true
			}
			ch, ok = w.entry.choose(want, time.Now())
			if others := test.servers > test.size; ok != others || others && w.entry.upstreams.weight(ch.server.ID) != 0 {
				t.Errorf("with the subset excluded, server chosen: %t, %s", ok, ch.server.ID)
			}
		})
	}
}

// shortRequest returns the requirements of a short request.
func shortRequest(w *testEnv) requirements {
	return requirements{service: w.entry.cfg.View.Config().Service("s"), model: testModel, promptTokens: 100, answerTokens: 50}
}

// TestLinksToLeavingServersStayOpen checks that an entry keeps its links to leaving servers, and to servers outside its subset while
// requests are in flight there.
func TestLinksToLeavingServersStayOpen(t *testing.T) {
	w, listed := newSubsetEnv(t, 204, 5)
	cfg := w.entry.cfg.View.Config()
	leaving, busy := w.entry.upstreams.preferred("s")[0].server.ID, w.entry.upstreams.fallback("s")[0]
	for i := range listed {
		if listed[i].ID == leaving {
			listed[i].Leaving = true
		}
	}
	busy.tryAcquire(100, 0, 1, time.Now())
	w.entry.upstreams.update(listed)
	wanted, inProgress := w.entry.boxLinks.wantedLinks(cfg)
	if len(wanted) != 41 {
		t.Errorf("links to %d boxes wanted, want 40 and that of the leaving server", len(wanted))
	}
	n := 0
	for _, inUse := range inProgress {
		if inUse {
			n++
		}
	}
	if n != 1 {
		t.Errorf("requests in flight at %d servers, want 1", n)
	}
}

// TestEntriesAreCountedByTheirWeights checks the number of entries that share the retry budget where each entry links to some of the
// boxes.
func TestEntriesAreCountedByTheirWeights(t *testing.T) {
	for name, test := range map[string]struct {
		reports []link.Report
		want    int
	}{
		"all entries at all boxes":     {[]link.Report{{Entries: 5, EntryWeight: 5}, {Entries: 5, EntryWeight: 5}}, 5},
		"a box that has just started":  {[]link.Report{{Entries: 5, EntryWeight: 5}, {Entries: 1, EntryWeight: 1}}, 5},
		"some entries at each box":     {[]link.Report{{Entries: 9, EntryWeight: 40}, {Entries: 11, EntryWeight: 66}}, 53},
		"boxes that report no weights": {[]link.Report{{Entries: 5}, {Entries: 4}}, 5},
	} {
		t.Run(name, func(t *testing.T) {
			w := newModelTestEnv(t, "10.0.0.1:1")
			for i, report := range test.reports {
				w.entry.boxLinks.updateEntryCount(fmt.Sprint("box", i), &report)
			}
			if got := w.entry.budget.Entries(); got != test.want {
				t.Errorf("%d entries share the budget, want %d", got, test.want)
			}
		})
	}
}
