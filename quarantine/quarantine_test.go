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

	"github.com/coralstair/coralstair/store"
	"github.com/coralstair/coralstair/view"
)

// sharedStore is a store that two entries share; it may be away, forget its history and lose answers.
type sharedStore struct {
	mu      sync.Mutex
	epoch   store.Epoch
	cursor  int64
	forgot  int64
	ends    map[string]End
	answers map[string]Answer
	changes []change
	changed chan struct{}
	away    bool
	lose    int
	hang    int
	slow    time.Duration
	writes  int
}

type change struct {
	at  int64
	key string
}

var errAway = errors.New("away")

func newSharedStore() *sharedStore {
	return &sharedStore{ends: make(map[string]End), answers: make(map[string]Answer), changed: make(chan struct{})}
}

func (s *sharedStore) Records(context.Context) (Records, view.Cursor, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return Records{}, view.Cursor{}, errAway
	}
	return Records{Ends: slices.Collect(maps.Values(s.ends)), Answers: slices.Collect(maps.Values(s.answers))}, view.Cursor{Epoch: s.epoch, Place: s.cursor}, nil
}

func (s *sharedStore) RecordsAfter(ctx context.Context, cursor view.Cursor, wait time.Duration) (Records, view.Cursor, error) {
	s.mu.Lock()
	hangs := s.hang > 0
	s.hang--
	s.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return Records{}, view.Cursor{}, ctx.Err()
	}
	for deadline := time.After(wait); ; {
		s.mu.Lock()
		records, at, away, changed := s.after(cursor.Place), view.Cursor{Epoch: s.epoch, Place: s.cursor}, s.away, s.changed
		gone := cursor.Place < s.forgot || cursor.Epoch != s.epoch
		s.mu.Unlock()
		switch {
		case away:
			return Records{}, view.Cursor{}, errAway
		case gone:
			return Records{}, view.Cursor{}, &view.HistoryGoneError{}
		case records.Size() > 0:
			return records, at, nil
		}
		select {
		case <-ctx.Done():
			return Records{}, view.Cursor{}, ctx.Err()
		case <-changed:
		case <-deadline:
			return Records{}, at, nil
		}
	}
}

// after returns what has changed after a place in the history; mu is held.
func (s *sharedStore) after(cursor int64) Records {
	var records Records
	for _, c := range s.changes {
		if c.at <= cursor {
			continue
		}
		end, isEnd := s.ends[c.key]
		answer, isAnswer := s.answers[c.key]
		switch {
		case isEnd:
			records.Ends = append(records.Ends, end)
		case isAnswer:
			records.Answers = append(records.Answers, answer)
		default:
			records.Gone = append(records.Gone, c.key)
		}
	}
	return records
}

func (s *sharedStore) WriteRecords(_ context.Context, records Records) error {
	s.mu.Lock()
	slow := s.slow
	s.mu.Unlock()
	time.Sleep(slow)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return errAway
	}
	s.writes++
	s.cursor++
	for _, end := range records.Ends {
		s.ends[end.Key()] = end
		s.changes = append(s.changes, change{s.cursor, end.Key()})
	}
	for _, answer := range records.Answers {
		s.answers[answer.Key()] = answer
		s.changes = append(s.changes, change{s.cursor, answer.Key()})
	}
	for _, key := range records.Gone {
		delete(s.ends, key)
		delete(s.answers, key)
		s.changes = append(s.changes, change{s.cursor, key})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	if s.lose > 0 {
		s.lose--
		return errAway
	}
	return nil
}

// set changes the store.
func (s *sharedStore) set(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
}

// member runs the quarantine of an entry at a store until the test ends or stop is called.
func member(t *testing.T, entry string, store Store) (q *Quarantine, stop func()) {
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

// ended has entries learn of the ends of lives with a request, each at the next entry.
func ended(request string, qs []*Quarantine, lives ...string) {
	for i, life := range lives {
		qs[i%len(qs)].Ended(life, []Fingerprint{named(request)})
	}
}

func (q *Quarantine) holds(request string) bool {
	return q.Held(func() Fingerprint { return named(request) })
}

// TestEntriesShareWhatEnds proves that what each entry saw holds at all, and at those that start later, whatever befalls the store.
func TestEntriesShareWhatEnds(t *testing.T) {
	for name, test := range map[string]struct {
		trouble func(s *sharedStore)
		within  time.Duration
	}{
		"all is well":             {func(*sharedStore) {}, 100 * time.Millisecond},
		"answers to writes lost":  {func(s *sharedStore) { s.lose = 2 }, time.Second},
		"connections fall silent": {func(s *sharedStore) { s.hang = 2 }, 3 * time.Second},
		"the history is gone":     {func(s *sharedStore) { s.forgot = s.cursor + 10 }, time.Second},
		"the store was away": {func(s *sharedStore) {
			s.away = true
			time.AfterFunc(2*time.Second, func() { s.set(func() { s.away = false }) })
		}, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newSharedStore()
				a, _ := member(t, "a", store)
				b, stop := member(t, "b", store)
				time.Sleep(time.Second)
				store.set(func() { test.trouble(store) })
				ended("x", []*Quarantine{a, b}, "1", "2", "3")
				time.Sleep(test.within)
				for name, q := range map[string]*Quarantine{"a": a, "b": b} {
					if !q.holds("x") || q.holds("y") {
						t.Errorf("%s holds x: %t, y: %t", name, q.holds("x"), q.holds("y"))
					}
				}
				stop()
				again, _ := member(t, "b", store)
				time.Sleep(2 * time.Second)
				if !again.holds("x") {
					t.Error("an entry that started later does not hold it")
				}
			})
		})
	}
}

// TestAnswersAreShared proves that an answer at one entry ends the hold at all.
func TestAnswersAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newSharedStore()
		a, _ := member(t, "a", store)
		b, _ := member(t, "b", store)
		ended("x", []*Quarantine{a, b}, "1", "2", "3")
		time.Sleep(time.Second)
		a.Answered(named("x"))
		time.Sleep(time.Second)
		if a.holds("x") || b.holds("x") {
			t.Errorf("held: %t, %t", a.holds("x"), b.holds("x"))
		}
		ended("x", []*Quarantine{b}, "4", "5", "6")
		time.Sleep(time.Second)
		if !a.holds("x") || !b.holds("x") {
			t.Errorf("held after three more ends: %t, %t", a.holds("x"), b.holds("x"))
		}
	})
}

// TestRecordsAreRemoved proves that ends are forgotten after a time, at the store too.
func TestRecordsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newSharedStore()
		a, _ := member(t, "a", store)
		b, _ := member(t, "b", store)
		ended("x", []*Quarantine{a, b}, "1", "2", "3")
		time.Sleep(KeepTime - time.Minute)
		if !a.holds("x") || !b.holds("x") {
			t.Error("it is not held any more")
		}
		time.Sleep(2*time.Minute + keepSpread)
		store.set(func() {
			if a.holds("x") || b.holds("x") || len(store.ends) > 0 {
				t.Errorf("held: %t, %t, %d records stored", a.holds("x"), b.holds("x"), len(store.ends))
			}
		})
	})
}

// TestOneEndIsOneCall proves that what one end brings is stored in one call: calls are priced.
func TestOneEndIsOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newSharedStore()
		a, _ := member(t, "a", store)
		time.Sleep(time.Second)
		for _, request := range []string{"x", "y", "z"} {
			a.Ended("1", []Fingerprint{named(request)})
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(time.Second)
		store.set(func() {
			if store.writes != 1 || len(store.ends[atEnd("1", "a").Key()].Requests) != 3 {
				t.Errorf("%d calls, stored %v", store.writes, store.ends)
			}
		})
	})
}

// TestPendingRecordsAreNewer proves that what an entry has yet to store is not lost to what the store tells meanwhile.
func TestPendingRecordsAreNewer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newSharedStore()
		a, _ := member(t, "a", store)
		time.Sleep(time.Second)
		a.Ended("1", []Fingerprint{named("x")})
		time.Sleep(time.Second)
		store.set(func() { store.away, store.slow = true, 500*time.Millisecond })
		a.Ended("1", []Fingerprint{named("y")})
		time.Sleep(100 * time.Millisecond)
		// The entry hears its older record once more, and that there are no others.
		a.Take(Records{Ends: []End{atEnd("1", "a", "x")}})
		a.take(Records{}, true)
		time.Sleep(time.Second)
		store.set(func() { store.away = false })
		time.Sleep(3 * time.Second)
		store.set(func() {
			if stored := store.ends[atEnd("1", "a").Key()].Requests; len(stored) != 2 {
				t.Errorf("%d requests are stored, want 2", len(stored))
			}
		})
	})
}
