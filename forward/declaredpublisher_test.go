package forward

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/link"
)

// declaringStore is a store whose declared state changes; it counts the calls that returned a configuration.
type declaringStore struct {
	*countingStore
	mu       sync.Mutex
	declared discovery.Declared
	changed  chan struct{}
	reads    int
	stuck    bool
}

func newDeclaringStore(list *countingStore) *declaringStore {
	return &declaringStore{countingStore: list, declared: list.declared, changed: make(chan struct{})}
}

func (s *declaringStore) declare(declared discovery.Declared) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.declared = declared
	close(s.changed)
	s.changed = make(chan struct{})
}

// hang makes all calls hang from now on.
func (s *declaringStore) hang() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stuck = true
	s.hangs.Store(true)
}

func (s *declaringStore) state() (declared discovery.Declared, changed chan struct{}, stuck bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.declared, s.changed, s.stuck
}

func (s *declaringStore) Declared(ctx context.Context) (discovery.Declared, error) {
	declared, _, stuck := s.state()
	if stuck {
		<-ctx.Done()
		return discovery.Declared{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return declared, nil
}

func (s *declaringStore) DeclaredAfter(ctx context.Context, cursor discovery.Cursor, wait time.Duration) (discovery.Declared, error) {
	deadline := time.After(wait)
	for {
		declared, changed, stuck := s.state()
		if declared.Cursor.Position > cursor.Position && !stuck {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.reads++
			return declared, nil
		}
		if stuck {
			changed, deadline = nil, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return discovery.Declared{Cursor: cursor}, nil
		case <-ctx.Done():
			return discovery.Declared{}, ctx.Err()
		}
	}
}

// awaitRevision waits until an entry knows a revision.
func (env *siteEnv) awaitRevision(i int, revision contract.Revision, limit time.Duration) {
	env.t.Helper()
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if cfg := env.entries[i].cfg.View.Config(); cfg != nil && cfg.Revision == revision {
			return
		}
		if time.Since(began) > limit {
			env.t.Errorf("entry %d does not know revision %d after %s", i, revision, limit)
			return
		}
	}
}

// TestOneEntryOfASiteReadsWhatIsDeclared checks that only the reader reads a changed configuration, that all entries of the site have it
// in time, also when the reader dies or falls silent, and that what it holds is the same for all.
func TestOneEntryOfASiteReadsWhatIsDeclared(t *testing.T) {
	const n, soon, inTime = 8, 700 * time.Millisecond, 3500 * time.Millisecond
	for name, test := range map[string]struct {
		fault func(env *siteEnv, reader int)
		limit time.Duration
		// mostReads is how many reads of the changed configuration there may be besides the reader's.
		mostReads int
	}{
		"no fault":     {func(*siteEnv, int) {}, soon, 0},
		"reader dies":  {func(env *siteEnv, reader int) { env.stops[reader]() }, inTime, 2},
		"reader hangs": {func(env *siteEnv, reader int) { env.declaring[reader].hang() }, inTime, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newSiteEnv(t, n)
			reader := env.readerIndex()
			env.awaitFollowers(reader)
			before := make([]int, n)
			for i, store := range env.declaring {
				store.mu.Lock()
				before[i] = store.reads
				store.mu.Unlock()
			}
			test.fault(env, reader)
			for revision := contract.Revision(2); revision < 5; revision++ {
				cfg := contract.NewConfig(revision, contract.Limits{}, []contract.Route{{Host: "h", Attempts: int(revision)}}, []contract.Service{{Name: "s"}},
					[]contract.Team{{Name: "t", Keys: []string{string(rune('a' + revision))}}})
				evacuated := map[string]bool{"x": revision == 3}
				for _, store := range env.declaring {
					store.declare(discovery.Declared{Config: cfg, Evacuated: evacuated, Cursor: discovery.Cursor{Position: int64(revision)}})
				}
				for i, e := range env.entries {
					if i == reader && name != "no fault" {
						continue
					}
					env.awaitRevision(i, revision, test.limit)
					cfg := e.cfg.View.Config()
					if cfg.Route("h", "/").Attempts != int(revision) || cfg.Team(string(rune('a'+revision))) == nil || cfg.Team(string(rune('a'+revision-1))) != nil {
						t.Errorf("entry %d holds another configuration of revision %d", i, revision)
					}
					if phase, _ := e.cfg.View.Evacuation("x"); (phase != discovery.NotEvacuated) != (revision == 3) {
						t.Errorf("entry %d: site x is in phase %d at revision %d", i, phase, revision)
					}
				}
			}
			reads := 0
			for i, store := range env.declaring {
				store.mu.Lock()
				if i != reader && store.reads > before[i] {
					reads++
				}
				store.mu.Unlock()
			}
			if reads > test.mostReads {
				t.Errorf("%d entries besides the reader read the configuration, %d may", reads, test.mostReads)
			}
		})
	}
}

// TestDeclaredChangesAreSmall checks that a changed route of a large configuration is told as such, and only to a follower that has nothing
// as a whole.
func TestDeclaredChangesAreSmall(t *testing.T) {
	routes := make([]contract.Route, 250)
	for i := range routes {
		routes[i] = contract.Route{Name: serverName(i), Host: "h.example", Prefix: "/" + serverName(i) + "/", Kind: contract.KindStream, Split: []contract.Share{{Service: "s", Weight: 1}}}
	}
	store := newDeclaringStore(&countingStore{})
	store.declare(discovery.Declared{Config: contract.NewConfig(1, contract.Limits{}, routes, nil, nil), Cursor: discovery.Cursor{Position: 1}})
	v := discovery.New(store, discovery.Options{})
	go func() { _ = v.ServeDeclared(t.Context()) }()
	var dp declaredPublisher
	var fresh declaredFollower
	current := declaredFollower{revision: 1}
	sizes := func() (int, int) {
		dp.update(v)
		return len(dp.next(&fresh, time.Now())), len(dp.next(&current, time.Now()))
	}
	for v.Config() == nil {
		time.Sleep(time.Millisecond)
	}
	if whole, known := sizes(); whole < 10000 || known > 300 {
		t.Errorf("a follower without a configuration gets %d bytes, one that has it %d", whole, known)
	}
	changed := append([]contract.Route(nil), routes...)
	changed[7].Attempts = 3
	store.declare(discovery.Declared{Config: contract.NewConfig(2, contract.Limits{}, changed, nil, nil), Cursor: discovery.Cursor{Position: 2}})
	for v.Config().Revision != 2 {
		time.Sleep(time.Millisecond)
	}
	one, other := sizes()
	if one == 0 || one > 600 || other != one {
		t.Errorf("a changed route is told in %d and %d bytes", one, other)
	}
	if _, err := link.Decode(dp.delta); err != nil {
		t.Error(err)
	}
}

// TestFollowersGoOnFromTheirConfiguration guards against followers that never get a configuration, since they were told the position of one
// that their reader had read, but not relayed.
func TestFollowersGoOnFromTheirConfiguration(t *testing.T) {
	store := newDeclaringStore(&countingStore{})
	declare := func(revision contract.Revision) {
		cfg := contract.NewConfig(revision, contract.Limits{}, nil, nil, nil)
		store.declare(discovery.Declared{Config: cfg, Cursor: discovery.Cursor{Position: int64(revision)}})
	}
	declare(1)
	v := discovery.New(store, discovery.Options{})
	go func() { _ = v.ServeDeclared(t.Context()) }()
	awaitPosition := func(position int64) {
		for v.DeclaredAt().Position != position {
			time.Sleep(time.Millisecond)
		}
	}
	awaitPosition(1)
	var dp declaredPublisher
	dp.update(v)
	declare(2)
	awaitPosition(2)
	for name, f := range map[string]*declaredFollower{"without a configuration": {}, "with it": {revision: 1}} {
		msg, err := link.Decode(dp.next(f, time.Now()))
		if err != nil {
			t.Fatal(err)
		}
		change := msg.(*link.DeclaredChange)
		if change.AsOf.Position != 1 || change.Config != nil && change.Config.Revision != 1 {
			t.Errorf("a follower %s of revision 1 goes on from position %d", name, change.AsOf.Position)
		}
	}
}
