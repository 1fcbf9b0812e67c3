package view

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/store"
)

// listOf is a list of servers in an epoch of the store.
func listOf(epoch store.Epoch, servers ...contract.Server) answer[Servers] {
	return answer[Servers]{value: Servers{Present: servers, Cursor: Cursor{Epoch: epoch, Place: 1}}}
}

// gone is a change of the list: these servers are listed no more.
func goneIn(epoch store.Epoch, ids ...string) answer[Servers] {
	return answer[Servers]{value: Servers{Gone: ids, Cursor: Cursor{Epoch: epoch, Place: 1}}}
}

// serverBorn is a server's entry.
func serverBorn(id string, born int64, leaving bool) contract.Server {
	return contract.Server{ID: id, Address: "10.0.0.1:" + id, Service: "s", Born: born, Leaving: leaving}
}

// cameBack is the answer of a store that came back from a copy.
var cameBack = answer[Servers]{err: &HistoryGoneError{}}

// TestListOfACopy proves that what a copy of the store says of servers is not believed against what is known, and that what servers
// write again is.
func TestListOfACopy(t *testing.T) {
	a, b := serverBorn("1", 10, false), serverBorn("2", 20, false)
	leaving, again := serverBorn("2", 20, true), serverBorn("2", 30, false)
	type step struct {
		answer answer[Servers]
		after  time.Duration
	}
	tests := map[string]struct {
		steps []step
		// used says whether server 2 may get requests in the end, as a server that does not leave.
		used bool
	}{
		"one that the copy lacks is used until servers have written again": {
			[]step{{listOf(1, a, b), 0}, {cameBack, 0}, {listOf(2, a), 2 * time.Second}}, true,
		},
		"one that never comes back is not": {
			[]step{{listOf(1, a, b), 0}, {cameBack, 0}, {listOf(2, a), 3 * time.Second}}, false,
		},
		"one that left stays away": {
			[]step{{listOf(1, a, b), 0}, {goneIn(1, "2"), 3 * time.Second}, {listOf(1, a), 0}, {cameBack, 0}, {listOf(2, a, b), time.Second}}, false,
		},
		"one whose entry went a moment before does too": {
			[]step{{listOf(1, a, b), 0}, {goneIn(1, "2"), time.Second}, {cameBack, 0}, {listOf(2, a, b), 2 * time.Second}}, false,
		},
		"a list that had lapsed as a whole is believed": {
			[]step{{listOf(1, a, b), 0}, {goneIn(1, "1", "2"), 3 * time.Second}, {listOf(1), 0}, {cameBack, 0}, {listOf(2, a, b), time.Second}}, true,
		},
		"and lapses": {
			[]step{
				{listOf(1, a, b), 0},
				{goneIn(1, "2"), 3 * time.Second},
				{listOf(1, a), 0},
				{cameBack, 0},
				{listOf(2, a, b), time.Second},
				{goneIn(2, "2"), 10 * time.Second},
				{listOf(2), 0},
			}, false,
		},
		"unless it is still listed when the entry of a dead one would have lapsed": {
			[]step{
				{listOf(1, a, b), 0}, {goneIn(1, "2"), 3 * time.Second}, {listOf(1, a), 0}, {cameBack, 0}, {listOf(2, a, b), 6 * time.Second}, {listOf(2), 0},
			}, true,
		},
		"or writes its entry anew": {
			[]step{
				{listOf(1, a, b), 0}, {goneIn(1, "2"), 3 * time.Second}, {listOf(1, a), 0}, {cameBack, 0}, {listOf(2, a, b), time.Second}, {listOf(2, b), 0},
			}, true,
		},
		"or has started again": {
			[]step{{listOf(1, a, b), 0}, {goneIn(1, "2"), 3 * time.Second}, {listOf(1, a), 0}, {cameBack, 0}, {listOf(2, a, again), time.Second}}, true,
		},
		"one that was leaving still is": {
			[]step{{listOf(1, a, b), 0}, {listOf(1, leaving), time.Second}, {cameBack, 0}, {listOf(2, a, b), time.Second}}, false,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			following(t, func(t *testing.T, v *View, s *fakeSource) {
				for _, step := range test.steps {
					s.servers <- step.answer
					time.Sleep(step.after)
				}
				synctest.Wait()
				used := false
				for _, server := range v.Servers() {
					used = used || server.ID == "2" && !server.Leaving && server.Missing.IsZero() || server.ID == "2" && !server.Leaving && time.Now().Before(server.Until)
				}
				if used != test.used {
					t.Errorf("used: %t, want %t", used, test.used)
				}
			})
		})
	}
}

// TestLaterLifeOutlastsACopy proves that an earlier life of a server, which a copy lists, does not take the place of the one known.
func TestLaterLifeOutlastsACopy(t *testing.T) {
	following(t, func(t *testing.T, v *View, s *fakeSource) {
		s.servers <- listOf(1, serverBorn("1", 10, false))
		s.servers <- listOf(1, serverBorn("1", 30, false))
		s.servers <- cameBack
		s.servers <- listOf(2, serverBorn("1", 10, false))
		synctest.Wait()
		if servers := v.Servers(); len(servers) != 1 || servers[0].Born != 30 {
			t.Errorf("%+v", servers)
		}
	})
}

// TestKnownRevisionsOutlastACopy proves that a daemon that knows an older configuration than others denies nothing by it, and does
// not serve by it when it started of late; both end.
func TestKnownRevisionsOutlastACopy(t *testing.T) {
	tests := map[string]struct {
		configuredAgo, offeredAgo time.Duration
		own, offered              contract.Revision
		doubtful, outdated        bool
	}{
		"others know no newer one":            {time.Second, time.Second, 7, 7, false, false},
		"a newer one, a moment ago":           {time.Second, 100 * time.Millisecond, 7, 8, true, false},
		"a newer one, at a daemon just begun": {2 * time.Second, time.Second, 7, 8, true, true},
		"a newer one, at one that runs long":  {time.Minute, time.Second, 7, 8, true, false},
		"it never came":                       {time.Minute, 31 * time.Second, 7, 8, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := New(nil, Options{})
			now := time.Now()
			at := now.Add(-test.configuredAgo)
			v.now = func() time.Time { return at }
			v.takeDeclared(Declared{Config: config(test.own)}, true)
			at = now.Add(-test.offeredAgo)
			v.OfferRevision(test.offered)
			at = now
			v.confirm()
			if got := v.Doubtful(); got != test.doubtful {
				t.Errorf("doubtful %t, want %t", got, test.doubtful)
			}
			if got := v.Outdated(); got != test.outdated {
				t.Errorf("outdated %t, want %t", got, test.outdated)
			}
		})
	}
}
