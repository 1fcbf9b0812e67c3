package quarantine

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"
)

// restore has the store come back from a copy without some rows; its places in the history are given out again.
func (s *sharedStore) restore(without func(key string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.ends, func(key string, _ End) bool { return without(key) })
	maps.DeleteFunc(s.answers, func(key string, _ Answer) bool { return without(key) })
	s.epoch++
	s.cursor, s.changes = 0, nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// TestRecordsOutlastACopy proves that a request that is held stays so at all entries, those that start later among them, when the
// store comes back without the records that hold it, and how many calls it takes to store them again.
func TestRecordsOutlastACopy(t *testing.T) {
	all := func(string) bool { return true }
	tests := map[string]struct {
		entries int
		// gone is how many of the entries that saw ends have ended before.
		gone    int
		without func(key string) bool
		within  time.Duration
		writes  int
	}{
		"all records, at few entries":       {13, 0, all, time.Second, 6},
		"all records, at many":              {60, 0, all, time.Second, 6},
		"those who saw the ends are gone":   {13, 3, all, 9 * time.Second, 16},
		"and at many entries":               {60, 3, all, 9 * time.Second, 63},
		"one record":                        {13, 0, func(key string) bool { return key == atEnd("1", "0").Key() }, time.Second, 4},
		"nothing, the store only went back": {13, 0, func(string) bool { return false }, time.Second, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newSharedStore()
				var qs []*Quarantine
				var stops []func()
				for i := range test.entries {
					q, stop := member(t, fmt.Sprint(i), store)
					qs, stops = append(qs, q), append(stops, stop)
				}
				time.Sleep(time.Second)
				ended("x", qs[:3], "1", "2", "3")
				time.Sleep(time.Second)
				for _, stop := range stops[:test.gone] {
					stop()
				}
				store.restore(test.without)
				for until := time.Now().Add(test.within); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
					for i, q := range qs[test.gone:] {
						if !q.holds("x") {
							t.Fatalf("entry %d holds it no longer", test.gone+i)
						}
					}
				}
				late, _ := member(t, "late", store)
				time.Sleep(100 * time.Millisecond)
				if !late.holds("x") {
					t.Error("an entry that starts later does not hold it")
				}
				if store.writes > test.writes {
					t.Errorf("%d writing calls, want %d at most", store.writes, test.writes)
				}
			})
		})
	}
}

// TestAcknowledgedBeforeTheCopy proves that a record which is stored while the store goes back is stored again.
func TestAcknowledgedBeforeTheCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newSharedStore()
		a, _ := member(t, "a", store)
		time.Sleep(time.Second)
		store.set(func() { store.slow = 300 * time.Millisecond })
		a.Ended("1", []Fingerprint{named("x")})
		time.Sleep(400 * time.Millisecond)
		store.restore(func(string) bool { return true })
		time.Sleep(2 * time.Second)
		store.set(func() {
			if len(store.ends) != 1 {
				t.Errorf("%d records are stored, want 1", len(store.ends))
			}
		})
	})
}
