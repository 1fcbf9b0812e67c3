package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/store"
)

// listOf is a list of servers in an epoch.
func listOf(epoch store.Epoch, servers ...contract.Server) response[Servers] {
	return response[Servers]{value: Servers{Present: servers, Cursor: Cursor{Epoch: epoch, Position: 1}}}
}

// goneIn is a change that removes servers in an epoch.
func goneIn(epoch store.Epoch, ids ...string) response[Servers] {
	return response[Servers]{value: Servers{Removed: ids, Cursor: Cursor{Epoch: epoch, Position: 1}}}
}

func serverBorn(id string, born int64, leaving bool) contract.Server {
	return contract.Server{ID: id, Address: "10.0.0.1:" + id, Service: "s", Born: born, Leaving: leaving}
}

// restored is the response of a store that was restored from a backup.
var restored = response[Servers]{err: &HistoryGoneError{}}

// TestListOfACopy checks that the list of a restored store does not override newer knowledge, and that entries written since do.
func TestListOfACopy(t *testing.T) {
	a, b := serverBorn("1", 10, false), serverBorn("2", 20, false)
	leaving, again := serverBorn("2", 20, true), serverBorn("2", 30, false)
	type step struct {
		answer response[Servers]
		after  time.Duration
	}
	tests := map[string]struct {
		steps []step
		// used says whether server 2 may get requests in the end.
		used bool
	}{
		"a server that the backup lacks is used for a grace period": {
			[]step{{listOf(1, a, b), 0}, {restored, 0}, {listOf(2, a), 2 * time.Second}}, true,
		},
		"a server that does not return is gone after the grace period": {
			[]step{{listOf(1, a, b), 0}, {restored, 0}, {listOf(2, a), 3 * time.Second}}, false,
		},
		"a server that left is held back": {
			[]step{{listOf(1, a, b), 0}, {goneIn(1, "2"), 3 * time.Second}, {listOf(1, a), 0}, {restored, 0}, {listOf(2, a, b), time.Second}}, false,
		},
		"a server that went missing just before is held back": {
			[]step{{listOf(1, a, b), 0}, {goneIn(1, "2"), time.Second}, {restored, 0}, {listOf(2, a, b), 2 * time.Second}}, false,
		},
		"a list whose entries had all expired is used": {
			[]step{{listOf(1, a, b), 0}, {goneIn(1, "1", "2"), 3 * time.Second}, {listOf(1), 0}, {restored, 0}, {listOf(2, a, b), time.Second}}, true,
		},
		"a server that left is gone when its relisted entry expires": {
			[]step{
				{listOf(1, a, b), 0},
				{goneIn(1, "2"), 3 * time.Second},
				{listOf(1, a), 0},
				{restored, 0},
				{listOf(2, a, b), time.Second},
				{goneIn(2, "2"), 10 * time.Second},
				{listOf(2), 0},
			}, false,
		},
		"a server that left is used when its relisted entry does not expire": {
			[]step{
				{listOf(1, a, b), 0}, {goneIn(1, "2"), 3 * time.Second}, {listOf(1, a), 0}, {restored, 0}, {listOf(2, a, b), 6 * time.Second}, {listOf(2), 0},
			}, true,
		},
		"a server that left is used when it writes its entry again": {
			[]step{
				{listOf(1, a, b), 0}, {goneIn(1, "2"), 3 * time.Second}, {listOf(1, a), 0}, {restored, 0}, {listOf(2, a, b), time.Second}, {listOf(2, b), 0},
			}, true,
		},
		"a server that left is used when it has restarted": {
			[]step{{listOf(1, a, b), 0}, {goneIn(1, "2"), 3 * time.Second}, {listOf(1, a), 0}, {restored, 0}, {listOf(2, a, again), time.Second}}, true,
		},
		"a leaving server stays leaving": {
			[]step{{listOf(1, a, b), 0}, {listOf(1, leaving), time.Second}, {restored, 0}, {listOf(2, a, b), time.Second}}, false,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runFollowing(t, func(t *testing.T, v *View, s *fakeSource) {
				for _, step := range test.steps {
					s.servers <- step.answer
					time.Sleep(step.after)
				}
				synctest.Wait()
				used := false
				for _, server := range v.Servers() {
					used = used || server.ID == "2" && !server.Leaving && server.MissingSince.IsZero() || server.ID == "2" && !server.Leaving && time.Now().Before(server.GoneAt)
				}
				if used != test.used {
					t.Errorf("used: %t, want %t", used, test.used)
				}
			})
		})
	}
}

// TestLaterLifeOutlastsACopy checks that an earlier incarnation in a restored list does not replace the known one.
func TestLaterLifeOutlastsACopy(t *testing.T) {
	runFollowing(t, func(t *testing.T, v *View, s *fakeSource) {
		s.servers <- listOf(1, serverBorn("1", 10, false))
		s.servers <- listOf(1, serverBorn("1", 30, false))
		s.servers <- restored
		s.servers <- listOf(2, serverBorn("1", 10, false))
		synctest.Wait()
		if servers := v.Servers(); len(servers) != 1 || servers[0].Born != 30 {
			t.Errorf("%+v are listed, want one server of incarnation 30", servers)
		}
	})
}

// TestKnownRevisionsOutlastACopy checks that a daemon behind its peers denies nothing, and does not serve if it started recently;
// both end after a time.
func TestKnownRevisionsOutlastACopy(t *testing.T) {
	tests := map[string]struct {
		configuredAgo, offeredAgo time.Duration
		own, offered              contract.Revision
		doubtful, outdated        bool
	}{
		"peers know no newer revision":        {time.Second, time.Second, 7, 7, false, false},
		"newer revision, just reported":       {time.Second, 100 * time.Millisecond, 7, 8, true, false},
		"newer revision, daemon just started": {2 * time.Second, time.Second, 7, 8, true, true},
		"newer revision, long-running daemon": {time.Minute, time.Second, 7, 8, true, false},
		"newer revision never arrived":        {time.Minute, 31 * time.Second, 7, 8, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := New(nil, Options{})
			now := time.Now()
			at := now.Add(-test.configuredAgo)
			v.now = func() time.Time { return at }
			v.applyDeclared(Declared{Config: config(test.own)}, true, true)
			at = now.Add(-test.offeredAgo)
			v.ObservePeerRevision(test.offered)
			at = now
			v.confirmDeclared(Cursor{})
			if got := v.MayBeStale(); got != test.doubtful {
				t.Errorf("may be stale: %t, want %t", got, test.doubtful)
			}
			if got := v.Outdated(); got != test.outdated {
				t.Errorf("outdated %t, want %t", got, test.outdated)
			}
		})
	}
}
