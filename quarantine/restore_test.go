package quarantine

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"
)

// restore simulates a restore from a backup that lacks some rows; positions in the history are reused.
func (s *sharedStore) restore(without func(key string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.exits, func(key string, _ Exit) bool { return without(key) })
	maps.DeleteFunc(s.responses, func(key string, _ Response) bool { return without(key) })
	s.epoch++
	s.cursor, s.changes = 0, nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// TestRecordsOutlastACopy checks that a request stays quarantined at all entries, also later ones, after a restore without
// its records, and bounds the writes that store them again.
func TestRecordsOutlastACopy(t *testing.T) {
	all := func(string) bool { return true }
	tests := map[string]struct {
		entries int
		// stopped is how many of the entries that recorded exits have stopped before the restore.
		stopped int
		without func(key string) bool
		within  time.Duration
		writes  int
	}{
		"all records lost, few entries":           {13, 0, all, time.Second, 6},
		"all records lost, many entries":          {60, 0, all, time.Second, 6},
		"recording entries stopped, few entries":  {13, 3, all, 9 * time.Second, 16},
		"recording entries stopped, many entries": {60, 3, all, 9 * time.Second, 63},
		"one record lost":                         {13, 0, func(key string) bool { return key == newExit("1", "0").Key() }, time.Second, 4},
		"no record lost":                          {13, 0, func(string) bool { return false }, time.Second, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newSharedStore()
				var qs []*Quarantine
				var stops []func()
				for i := range test.entries {
					q, stop := startEntry(t, fmt.Sprint(i), store)
					qs, stops = append(qs, q), append(stops, stop)
				}
				time.Sleep(time.Second)
				recordExits("x", qs[:3], "1", "2", "3")
				time.Sleep(time.Second)
				for _, stop := range stops[:test.stopped] {
					stop()
				}
				store.restore(test.without)
				for until := time.Now().Add(test.within); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
					for i, q := range qs[test.stopped:] {
						if !q.isQuarantined("x") {
							t.Fatalf("the request is no longer quarantined at entry %d", test.stopped+i)
						}
					}
				}
				late, _ := startEntry(t, "late", store)
				time.Sleep(100 * time.Millisecond)
				if !late.isQuarantined("x") {
					t.Error("the request is not quarantined at an entry that starts later")
				}
				if store.writes > test.writes {
					t.Errorf("%d write calls, want at most %d", store.writes, test.writes)
				}
			})
		})
	}
}

// TestAcknowledgedBeforeTheCopy checks that a record whose write is in progress during a restore is stored again.
func TestAcknowledgedBeforeTheCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newSharedStore()
		a, _ := startEntry(t, "a", store)
		time.Sleep(time.Second)
		store.update(func() { store.writeDelay = 300 * time.Millisecond })
		a.RecordExit("1", []Fingerprint{fingerprint("x")})
		time.Sleep(400 * time.Millisecond)
		store.restore(func(string) bool { return true })
		time.Sleep(2 * time.Second)
		store.update(func() {
			if len(store.exits) != 1 {
				t.Errorf("%d records are stored, want 1", len(store.exits))
			}
		})
	})
}
