package discovery

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/coralstair/coralstair/contract"
)

// callLimit is how long after its wait a call to the fake store times out.
const callLimit = 2 * time.Second

// fakeStore is a store with a settable revision whose calls can be made to hang.
type fakeStore struct {
	mu       sync.Mutex
	revision contract.Revision
	changed  chan struct{}
	calls    int
	// hangs says whether a call hangs, by its number and when it was made.
	hangs func(call int, at time.Duration) bool
	slow  time.Duration
	// body is how long a response takes once it has started.
	body  time.Duration
	began time.Time
	// fullReads counts the full reads.
	fullReads int
}

func (s *fakeStore) set(revision contract.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// call returns the revision once it is beyond the cursor, or after wait.
func (s *fakeStore) call(ctx context.Context, cursor Cursor, wait time.Duration) (contract.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callLimit)
	defer cancel()
	s.mu.Lock()
	s.calls++
	hangs := s.hangs != nil && s.hangs(s.calls, time.Since(s.began))
	s.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return 0, errors.New("no answer")
	}
	time.Sleep(s.slow)
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if int64(revision) > cursor.Position {
			ResponseStarted(ctx)
			time.Sleep(s.body)
			return revision, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return revision, nil
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

func (s *fakeStore) Declared(ctx context.Context) (Declared, error) {
	s.mu.Lock()
	s.fullReads++
	s.mu.Unlock()
	return s.DeclaredAfter(ctx, Cursor{}, 0)
}

func (s *fakeStore) DeclaredAfter(ctx context.Context, cursor Cursor, wait time.Duration) (Declared, error) {
	revision, err := s.call(ctx, cursor, wait)
	if err != nil {
		return Declared{}, err
	}
	return Declared{Config: config(revision), Cursor: Cursor{Position: int64(revision)}}, nil
}

func (s *fakeStore) Servers(ctx context.Context) (Servers, error) {
	return s.ServersAfter(ctx, Cursor{}, 0)
}

func (s *fakeStore) ServersAfter(ctx context.Context, _ Cursor, _ time.Duration) (Servers, error) {
	<-ctx.Done()
	return Servers{}, ctx.Err()
}

func TestFollowsAStoreThatFallsSilent(t *testing.T) {
	for name, test := range map[string]struct {
		hangs func(call int, at time.Duration) bool
		slow  time.Duration
		// declared is when a new revision is written, known the bound on the delay until it is applied.
		declared time.Duration
		known    time.Duration
	}{
		"undisturbed": {declared: 20 * time.Second, known: 10 * time.Millisecond},
		"the waiting call hangs, new calls do not": {
			hangs:    func(call int, _ time.Duration) bool { return call == 2 },
			declared: 500 * time.Millisecond, known: 2100 * time.Millisecond,
		},
		"every second call hangs": {
			hangs:    func(call int, _ time.Duration) bool { return call%2 == 0 },
			declared: 30 * time.Second, known: 2100 * time.Millisecond,
		},
		"no response for nine seconds": {
			hangs:    func(_ int, at time.Duration) bool { return at > 4*time.Second && at < 13*time.Second },
			declared: 13 * time.Second, known: 2 * time.Second,
		},
		"no response for a second": {
			hangs:    func(_ int, at time.Duration) bool { return at > 1900*time.Millisecond && at < 3*time.Second },
			declared: 3100 * time.Millisecond, known: 2100 * time.Millisecond,
		},
		"slow responses": {slow: 900 * time.Millisecond, declared: 20 * time.Second, known: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{revision: 1, changed: make(chan struct{}), hangs: test.hangs, slow: test.slow, began: time.Now()}
				v := New(Hedge(s), Options{Log: &log.Logger{Handler: discard.Default, Level: log.InfoLevel}})
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = v.ServeDeclared(ctx) }()
				time.Sleep(test.declared)
				s.set(2)
				time.Sleep(test.known)
				if got := v.Config(); got == nil || got.Revision != 2 {
					t.Errorf("%s after the change: configuration %+v, want revision 2", test.known, got)
				}
				if v.MayBeStale() && test.slow == 0 {
					t.Error("the configuration may be stale, want it confirmed")
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

func TestDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := false
		s := &fakeStore{revision: 1, changed: make(chan struct{}), began: time.Now()}
		s.hangs = func(int, time.Duration) bool { return silent }
		v := New(Hedge(s), Options{Log: &log.Logger{Handler: discard.Default, Level: log.InfoLevel}})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = v.ServeDeclared(ctx) }()
		time.Sleep(time.Minute)
		if v.MayBeStale() {
			t.Error("the configuration may be stale while the store responds")
		}
		s.mu.Lock()
		silent = true
		s.mu.Unlock()
		time.Sleep(6 * time.Second)
		if !v.MayBeStale() {
			t.Error("the configuration is not reported as possibly stale after 6 s without a response")
		}
		cancel()
		synctest.Wait()
	})
}

func TestWaitWithin(t *testing.T) {
	for name, test := range map[string]struct{ bound, want time.Duration }{
		"no bound":      {0, DefaultPollTimeout},
		"three seconds": {3 * time.Second, 2 * time.Second},
		"four seconds":  {4 * time.Second, 3 * time.Second},
		"tight bound":   {time.Second, minPollTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			if got := PollTimeoutWithin(test.bound); got != test.want {
				t.Errorf("poll timeout %s, want %s", got, test.want)
			}
		})
	}
}

// followStore returns a view that follows a store.
func followStore(t *testing.T, s *fakeStore) *View {
	s.revision, s.changed, s.began = 1, make(chan struct{}), time.Now()
	v := New(Hedge(s), Options{Log: &log.Logger{Handler: discard.Default, Level: log.InfoLevel}})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = v.ServeDeclared(ctx) }()
	t.Cleanup(func() {
		cancel()
		synctest.Wait()
	})
	return v
}

// TestAnswerThatHasBegunIsNotAskedForAgain guards against hedging a call whose long response is arriving over a saturated link.
func TestAnswerThatHasBegunIsNotAskedForAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{body: 5 * time.Second}
		v := followStore(t, s)
		time.Sleep(4900 * time.Millisecond)
		s.mu.Lock()
		calls := s.calls
		s.mu.Unlock()
		if calls != 1 {
			t.Errorf("%d calls while one response is arriving, want 1", calls)
		}
		time.Sleep(200 * time.Millisecond)
		if v.Config() == nil {
			t.Error("the response was not applied")
		}
	})
}

// TestWholeIsReadAfterALoss guards against transferring every missed revision after an outage of the store.
func TestWholeIsReadAfterALoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{hangs: func(_ int, at time.Duration) bool { return at > 4*time.Second && at < 13*time.Second }}
		v := followStore(t, s)
		time.Sleep(12 * time.Second)
		s.set(40)
		time.Sleep(3 * time.Second)
		if got := v.Config(); got == nil || got.Revision != 40 {
			t.Errorf("configuration %+v, want revision 40", got)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.fullReads < 2 {
			t.Errorf("%d full reads, want another one after the outage", s.fullReads)
		}
	})
}

// probedStore is a store over a link that is full: calls are slow in proportion to the number of full reads that are on their way, and
// probes are as slow as the link.
type probedStore struct {
	*fakeStore
	stuck bool
}

func (s *probedStore) Declared(ctx context.Context) (Declared, error) {
	s.mu.Lock()
	s.fullReads++
	first := s.fullReads == 1
	s.mu.Unlock()
	wait := 6 * time.Second
	if s.stuck && !first {
		wait = 10 * time.Millisecond
	}
	select {
	case <-time.After(wait):
		ResponseStarted(ctx)
		return Declared{Config: config(1), Cursor: Cursor{Position: 1}}, nil
	case <-ctx.Done():
		return Declared{}, ctx.Err()
	}
}

func (s *probedStore) Probe(ctx context.Context) error {
	if s.stuck {
		return nil
	}
	select {
	case <-time.After(6 * time.Second):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TestFullReadsAreNotRepeatedOverAFullLink checks that a full read is repeated when its connection hangs, and not when the link is full.
func TestFullReadsAreNotRepeatedOverAFullLink(t *testing.T) {
	for name, test := range map[string]struct {
		stuck bool
		reads int
		limit time.Duration
	}{
		"link is full":                 {false, 1, 6 * time.Second},
		"connection of the read hangs": {true, 2, fullReadHedgeAfter + 50*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &probedStore{fakeStore: &fakeStore{changed: make(chan struct{})}, stuck: test.stuck}
				began := time.Now()
				_, err := Hedge(s).Declared(t.Context())
				if took := time.Since(began); err != nil || took > test.limit || s.fullReads != test.reads {
					t.Errorf("%d full reads, answered after %s, %v; want %d within %s", s.fullReads, took, err, test.reads, test.limit)
				}
			})
		})
	}
}

// TestCancelledCallIsNotMade guards against a call to the store that is cancelled before it is sent, and is made all the same.
func TestCancelledCallIsNotMade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{revision: 1, changed: make(chan struct{}), began: time.Now()}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := Hedge(store).Declared(ctx); !errors.Is(err, context.Canceled) || store.calls != 0 {
			t.Errorf("%d calls, %v", store.calls, err)
		}
	})
}
