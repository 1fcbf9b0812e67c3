package quarantine

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/store"
)

// sharedStore is an in-memory Store with injectable faults: outages, truncated history, lost responses and slow writes.
type sharedStore struct {
	mu             sync.Mutex
	epoch          store.Epoch
	cursor         int64
	oldestPosition int64
	exits          map[string]Exit
	responses      map[string]Response
	changes        []change
	changed        chan struct{}
	unavailable    bool
	lostResponses  int
	hangingReads   int
	writeDelay     time.Duration
	writes         int
}

type change struct {
	position int64
	key      string
}

var errUnavailable = errors.New("unavailable")

func newSharedStore() *sharedStore {
	return &sharedStore{exits: make(map[string]Exit), responses: make(map[string]Response), changed: make(chan struct{})}
}

func (s *sharedStore) Records(context.Context) (Records, discovery.Cursor, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return Records{}, discovery.Cursor{}, errUnavailable
	}
	return Records{Exits: slices.Collect(maps.Values(s.exits)), Responses: slices.Collect(maps.Values(s.responses))}, discovery.Cursor{Epoch: s.epoch, Position: s.cursor}, nil
}

func (s *sharedStore) RecordsAfter(ctx context.Context, cursor discovery.Cursor, wait time.Duration) (Records, discovery.Cursor, error) {
	s.mu.Lock()
	hangs := s.hangingReads > 0
	s.hangingReads--
	s.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return Records{}, discovery.Cursor{}, ctx.Err()
	}
	for deadline := time.After(wait); ; {
		s.mu.Lock()
		records, at, unavailable, changed := s.changesAfter(cursor.Position), discovery.Cursor{Epoch: s.epoch, Position: s.cursor}, s.unavailable, s.changed
		gone := cursor.Position < s.oldestPosition || cursor.Epoch != s.epoch
		s.mu.Unlock()
		switch {
		case unavailable:
			return Records{}, discovery.Cursor{}, errUnavailable
		case gone:
			return Records{}, discovery.Cursor{}, &discovery.HistoryGoneError{}
		case records.Len() > 0:
			return records, at, nil
		}
		select {
		case <-ctx.Done():
			return Records{}, discovery.Cursor{}, ctx.Err()
		case <-changed:
		case <-deadline:
			return Records{}, at, nil
		}
	}
}

// changesAfter returns the changes after a position in the history; mu is held.
func (s *sharedStore) changesAfter(cursor int64) Records {
	var records Records
	for _, c := range s.changes {
		if c.position <= cursor {
			continue
		}
		exit, isExit := s.exits[c.key]
		response, isResponse := s.responses[c.key]
		switch {
		case isExit:
			records.Exits = append(records.Exits, exit)
		case isResponse:
			records.Responses = append(records.Responses, response)
		default:
			records.Removed = append(records.Removed, c.key)
		}
	}
	return records
}

func (s *sharedStore) WriteRecords(_ context.Context, records Records) error {
	s.mu.Lock()
	delay := s.writeDelay
	s.mu.Unlock()
	time.Sleep(delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return errUnavailable
	}
	s.writes++
	s.cursor++
	for _, exit := range records.Exits {
		s.exits[exit.Key()] = exit
		s.changes = append(s.changes, change{s.cursor, exit.Key()})
	}
	for _, response := range records.Responses {
		s.responses[response.Key()] = response
		s.changes = append(s.changes, change{s.cursor, response.Key()})
	}
	for _, key := range records.Removed {
		delete(s.exits, key)
		delete(s.responses, key)
		s.changes = append(s.changes, change{s.cursor, key})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	if s.lostResponses > 0 {
		s.lostResponses--
		return errUnavailable
	}
	return nil
}

// update runs a function with mu held.
func (s *sharedStore) update(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
}

// startEntry runs an entry's quarantine on a store until the test ends or stop is called.
func startEntry(t *testing.T, entry string, store Store) (q *Quarantine, stop func()) {
	t.Helper()
	q = New(Options{Entry: entry, Store: store, Log: &log.Logger{Handler: discard.Default}, Wait: time.Second})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = q.ServeReads(ctx) })
	wg.Go(func() { _ = q.ServeWrites(ctx) })
	stop = func() { cancel(); wg.Wait() }
	t.Cleanup(stop)
	return q, stop
}

// recordExits records the exits of incarnations with a request in flight, at the entries in turn.
func recordExits(request string, qs []*Quarantine, incarnations ...string) {
	for i, incarnation := range incarnations {
		qs[i%len(qs)].RecordExit(incarnation, []Fingerprint{fingerprint(request)})
	}
}

func (q *Quarantine) isQuarantined(request string) bool {
	return q.Held(func() Fingerprint { return fingerprint(request) })
}

// TestEntriesShareWhatEnds checks that exits recorded at different entries quarantine a request at all of them, also later
// ones, despite faults of the store.
func TestEntriesShareWhatEnds(t *testing.T) {
	for name, test := range map[string]struct {
		fault  func(s *sharedStore)
		within time.Duration
	}{
		"no fault":             {func(*sharedStore) {}, 100 * time.Millisecond},
		"write responses lost": {func(s *sharedStore) { s.lostResponses = 2 }, time.Second},
		"reads hang":           {func(s *sharedStore) { s.hangingReads = 2 }, 3 * time.Second},
		"history truncated":    {func(s *sharedStore) { s.oldestPosition = s.cursor + 10 }, time.Second},
		"store outage": {func(s *sharedStore) {
			s.unavailable = true
			time.AfterFunc(2*time.Second, func() { s.update(func() { s.unavailable = false }) })
		}, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newSharedStore()
				a, _ := startEntry(t, "a", store)
				b, stop := startEntry(t, "b", store)
				time.Sleep(time.Second)
				store.update(func() { test.fault(store) })
				recordExits("x", []*Quarantine{a, b}, "1", "2", "3")
				time.Sleep(test.within)
				for name, q := range map[string]*Quarantine{"a": a, "b": b} {
					if !q.isQuarantined("x") || q.isQuarantined("y") {
						t.Errorf("%s: x quarantined: %t, y: %t", name, q.isQuarantined("x"), q.isQuarantined("y"))
					}
				}
				stop()
				again, _ := startEntry(t, "b", store)
				time.Sleep(2 * time.Second)
				if !again.isQuarantined("x") {
					t.Error("the request is not quarantined at an entry that starts later")
				}
			})
		})
	}
}

// TestAnswersAreShared checks that a response at one entry lifts the quarantine at all entries.
func TestAnswersAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newSharedStore()
		a, _ := startEntry(t, "a", store)
		b, _ := startEntry(t, "b", store)
		recordExits("x", []*Quarantine{a, b}, "1", "2", "3")
		time.Sleep(time.Second)
		a.RecordResponse(fingerprint("x"))
		time.Sleep(time.Second)
		if a.isQuarantined("x") || b.isQuarantined("x") {
			t.Errorf("quarantined: %t, %t", a.isQuarantined("x"), b.isQuarantined("x"))
		}
		recordExits("x", []*Quarantine{b}, "4", "5", "6")
		time.Sleep(time.Second)
		if !a.isQuarantined("x") || !b.isQuarantined("x") {
			t.Errorf("quarantined after three more exits: %t, %t", a.isQuarantined("x"), b.isQuarantined("x"))
		}
	})
}

// TestExpiredRecordsAreRemoved checks that records are removed after Retention, in the store too.
func TestExpiredRecordsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newSharedStore()
		a, _ := startEntry(t, "a", store)
		b, _ := startEntry(t, "b", store)
		recordExits("x", []*Quarantine{a, b}, "1", "2", "3")
		time.Sleep(Retention - time.Minute)
		if !a.isQuarantined("x") || !b.isQuarantined("x") {
			t.Error("the request is no longer quarantined")
		}
		time.Sleep(2*time.Minute + retentionJitter)
		store.update(func() {
			if a.isQuarantined("x") || b.isQuarantined("x") || len(store.exits) > 0 {
				t.Errorf("quarantined: %t, %t, %d records stored", a.isQuarantined("x"), b.isQuarantined("x"), len(store.exits))
			}
		})
	})
}

// TestExitIsStoredInOneWrite checks that the requests of one exit are stored in one call, since calls are billed.
func TestExitIsStoredInOneWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newSharedStore()
		a, _ := startEntry(t, "a", store)
		time.Sleep(time.Second)
		for _, request := range []string{"x", "y", "z"} {
			a.RecordExit("1", []Fingerprint{fingerprint(request)})
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(time.Second)
		store.update(func() {
			if store.writes != 1 || len(store.exits[newExit("1", "a").Key()].Requests) != 3 {
				t.Errorf("%d write calls, stored %v", store.writes, store.exits)
			}
		})
	})
}

// TestPendingRecordsTakePrecedence checks that older records from the store do not overwrite records that are yet to be stored.
func TestPendingRecordsTakePrecedence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newSharedStore()
		a, _ := startEntry(t, "a", store)
		time.Sleep(time.Second)
		a.RecordExit("1", []Fingerprint{fingerprint("x")})
		time.Sleep(time.Second)
		store.update(func() { store.unavailable, store.writeDelay = true, 500*time.Millisecond })
		a.RecordExit("1", []Fingerprint{fingerprint("y")})
		time.Sleep(100 * time.Millisecond)
		// The entry receives its older record again, then an empty complete set.
		a.Merge(Records{Exits: []Exit{newExit("1", "a", "x")}})
		a.merge(Records{}, true)
		time.Sleep(time.Second)
		store.update(func() { store.unavailable = false })
		time.Sleep(3 * time.Second)
		store.update(func() {
			if stored := store.exits[newExit("1", "a").Key()].Requests; len(stored) != 2 {
				t.Errorf("%d requests are stored, want 2", len(stored))
			}
		})
	})
}
