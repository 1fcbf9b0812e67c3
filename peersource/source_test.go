package peersource

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/link"
)

// countingStore is a store with a fixed list of servers that counts calls.
type countingStore struct {
	servers   discovery.Servers
	reads     int
	waits     int
	cancelled int
}

func (s *countingStore) Declared(context.Context) (discovery.Declared, error) {
	return discovery.Declared{}, nil
}

func (s *countingStore) DeclaredAfter(context.Context, discovery.Cursor, time.Duration) (discovery.Declared, error) {
	return discovery.Declared{}, nil
}

func (s *countingStore) Servers(context.Context) (discovery.Servers, error) {
	s.reads++
	return s.servers, nil
}

func (s *countingStore) ServersAfter(ctx context.Context, cursor discovery.Cursor, wait time.Duration) (discovery.Servers, error) {
	s.waits++
	select {
	case <-ctx.Done():
		s.cancelled++
		return discovery.Servers{}, ctx.Err()
	case <-time.After(wait):
		return discovery.Servers{Cursor: cursor}, nil
	}
}

func serversWithIDs(ids ...string) []contract.Server {
	var servers []contract.Server
	for _, id := range ids {
		servers = append(servers, contract.Server{ID: id, Service: "s"})
	}
	return servers
}

func ids(servers []contract.Server) []string {
	var sorted []string
	for _, server := range servers {
		sorted = append(sorted, server.ID)
	}
	slices.Sort(sorted)
	return sorted
}

func TestTold(t *testing.T) {
	for name, test := range map[string]func(t *testing.T, store *countingStore, source *Source){
		"with a feed the store is not called": func(t *testing.T, store *countingStore, source *Source) {
			source.ApplyServers(&link.Servers{Reset: true, Present: serversWithIDs("a", "b")})
			full, err := source.Servers(t.Context())
			if err != nil || !slices.Equal(ids(full.Present), []string{"a", "b"}) {
				t.Fatalf("%v, %v", ids(full.Present), err)
			}
			time.AfterFunc(time.Second, func() {
				source.ApplyServers(&link.Servers{Present: serversWithIDs("c"), Gone: []string{"a"}})
			})
			changes, err := source.ServersAfter(t.Context(), full.Cursor, 10*time.Second)
			if err != nil || !slices.Equal(ids(changes.Present), []string{"c"}) || !slices.Equal(changes.Removed, []string{"a"}) {
				t.Errorf("%v, gone %v, %v", ids(changes.Present), changes.Removed, err)
			}
			if store.reads+store.waits != 0 {
				t.Errorf("%d calls to the store, want none", store.reads+store.waits)
			}
		},
		"without a feed the store is read after the timeout": func(t *testing.T, store *countingStore, source *Source) {
			began := time.Now()
			full, err := source.Servers(t.Context())
			if err != nil || !slices.Equal(ids(full.Present), []string{"a"}) || store.reads != 1 {
				t.Fatalf("%v, %v", ids(full.Present), err)
			}
			if took := time.Since(began); took < entryTimeout || took > entryTimeout+entryTimeoutJitter {
				t.Errorf("the store is read after %s", took)
			}
		},
		"a call to the store is cancelled when a feed starts": func(t *testing.T, store *countingStore, source *Source) {
			full, err := source.Servers(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			time.AfterFunc(3*time.Second, func() {
				source.ApplyServers(&link.Servers{Reset: true, Present: serversWithIDs("b")})
			})
			changes, err := source.ServersAfter(t.Context(), full.Cursor, 10*time.Second)
			if err != nil || !slices.Equal(ids(changes.Present), []string{"b"}) || !slices.Equal(changes.Removed, []string{"a"}) {
				t.Errorf("%v, gone %v, %v", ids(changes.Present), changes.Removed, err)
			}
			if store.cancelled != 1 {
				t.Error("the call to the store was not cancelled")
			}
		},
		"the full list is read when the feed is lost": func(t *testing.T, _ *countingStore, source *Source) {
			source.ApplyServers(&link.Servers{Reset: true, Present: serversWithIDs("b")})
			full, err := source.Servers(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			time.AfterFunc(time.Second, source.PeerLost)
			changes, err := source.ServersAfter(t.Context(), full.Cursor, 10*time.Second)
			if err != nil || !slices.Equal(ids(changes.Present), []string{"a"}) || !slices.Equal(changes.Removed, []string{"b"}) {
				t.Errorf("%v, gone %v, %v", ids(changes.Present), changes.Removed, err)
			}
		},
		"a change before the full list is ignored": func(t *testing.T, _ *countingStore, source *Source) {
			source.ApplyServers(&link.Servers{Present: serversWithIDs("c")})
			if source.PeerActive() {
				t.Error("the feed counts as started")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &countingStore{servers: discovery.Servers{Present: serversWithIDs("a"), Cursor: discovery.Cursor{Position: 7}}}
				test(t, store, New(store))
			})
		})
	}
}

func TestToldConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := New(&countingStore{})
		source.ApplyServers(&link.Servers{Reset: true})
		source.ApplyDeclared(&link.Declared{Revision: 3, Services: []contract.Service{{Name: "o", Origin: "h:1"}}})
		declared, err := source.Declared(t.Context())
		if err != nil || declared.Config.Revision != 3 || len(declared.Config.Origins()) != 1 {
			t.Fatalf("%+v, %v", declared, err)
		}
		declared, err = source.DeclaredAfter(t.Context(), declared.Cursor, time.Second)
		if err != nil || declared.Config != nil {
			t.Errorf("%+v, %v, want no change", declared, err)
		}
	})
}

// feedingStore is a store during whose read an entry's feed starts.
type feedingStore struct {
	countingStore
	source *EntrySource
}

func (s *feedingStore) Servers(ctx context.Context) (discovery.Servers, error) {
	s.source.ApplyServers(&link.Servers{Reset: true, Present: s.servers.Present})
	return s.countingStore.Servers(ctx)
}

// TestTellingBeginsBesideARead guards against dropping a list that was read just as a feed started: it is recorded as delivered, and
// the next change would be mistaken for the full list.
func TestTellingBeginsBesideARead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &feedingStore{countingStore: countingStore{servers: discovery.Servers{Present: serversWithIDs("a", "b"), Cursor: discovery.Cursor{Position: 1}}}}
		store.source = NewEntrySource(store, time.Second)
		time.AfterFunc(500*time.Millisecond, func() { store.source.ApplyServers(&link.Servers{Present: serversWithIDs("c")}) })
		full, err := store.source.Servers(t.Context())
		if err != nil || !slices.Equal(ids(full.Present), []string{"a", "b"}) {
			t.Errorf("full list %v, %v", ids(full.Present), err)
		}
		time.Sleep(time.Second)
		changes, err := store.source.ServersAfter(t.Context(), full.Cursor, time.Second)
		if err != nil || !slices.Equal(ids(changes.Present), []string{"c"}) || len(changes.Removed) > 0 {
			t.Errorf("then %v, gone %v, %v", ids(changes.Present), changes.Removed, err)
		}
	})
}

// TestMaxWaitAppliesOnlyWhileShared checks that an entry's calls for the list are shortened only while other entries depend on it.
func TestMaxWaitAppliesOnlyWhileShared(t *testing.T) {
	for name, test := range map[string]struct {
		shared bool
		want   time.Duration
	}{
		"not shared": {false, 3 * time.Second},
		"shared":     {true, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := NewEntrySource(&countingStore{servers: discovery.Servers{Present: serversWithIDs("a")}}, time.Second)
				source.SetShared(test.shared)
				full, err := source.Servers(t.Context())
				if err != nil {
					t.Fatal(err)
				}
				began := time.Now()
				if _, err := source.ServersAfter(t.Context(), full.Cursor, 3*time.Second); err != nil {
					t.Fatal(err)
				}
				if took := time.Since(began); took != test.want {
					t.Errorf("the call waits %s, want %s", took, test.want)
				}
			})
		})
	}
}

// TestWaitingCallEndsWhenOthersDepend guards against a reader whose list seems outdated until a call ends that was sent while no other entry
// depended on it.
func TestWaitingCallEndsWhenOthersDepend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := NewEntrySource(&countingStore{servers: discovery.Servers{Present: serversWithIDs("a")}}, time.Second)
		full, err := source.Servers(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(2*time.Second, func() { source.SetShared(true) })
		for _, want := range []time.Duration{2 * time.Second, time.Second} {
			began := time.Now()
			if _, err := source.ServersAfter(t.Context(), full.Cursor, 10*time.Second); err != nil {
				t.Fatal(err)
			}
			if took := time.Since(began); took != want {
				t.Errorf("the call waits %s, want %s", took, want)
			}
		}
	})
}

// slowToCancelStore is a store whose first read ends some time after it was cancelled.
type slowToCancelStore struct {
	countingStore
	declared int
}

func (s *slowToCancelStore) Declared(ctx context.Context) (discovery.Declared, error) {
	s.declared++
	return discovery.Declared{}, awaitCancel(ctx, s.declared)
}

func (s *slowToCancelStore) Servers(ctx context.Context) (discovery.Servers, error) {
	s.reads++
	return s.servers, awaitCancel(ctx, s.reads)
}

func awaitCancel(ctx context.Context, call int) error {
	if call > 1 {
		return nil
	}
	<-ctx.Done()
	time.Sleep(10 * time.Millisecond)
	return ctx.Err()
}

// TestReadCancelledByAShortFeedIsNoFailure guards against a store that counts as lost since a feed has started and ended during a read.
func TestReadCancelledByAShortFeedIsNoFailure(t *testing.T) {
	for name, read := range map[string]func(ctx context.Context, source *EntrySource) error{
		"list": func(ctx context.Context, source *EntrySource) error {
			_, err := source.Servers(ctx)
			return err
		},
		"declared": func(ctx context.Context, source *EntrySource) error {
			_, err := source.Declared(ctx)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := NewEntrySource(&slowToCancelStore{}, time.Second)
				time.AfterFunc(time.Second, func() {
					source.ApplyDeclaredChange(&link.DeclaredChange{}, nil)
					source.ApplyServers(&link.Servers{Reset: true})
					source.PeerLost()
				})
				if err := read(t.Context(), source); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// longStore is a store with more servers than the first read returns.
type longStore struct {
	countingStore
	partialReads int
}

func (s *longStore) SomeServers(_ context.Context, limit int) (discovery.Servers, error) {
	s.partialReads++
	return discovery.Servers{Present: serversWithIDs("a"), Partial: limit < 3000, Cursor: discovery.Cursor{Position: 1}}, nil
}

// TestALongListIsReadByOne checks that a starting daemon reads a part of a long list at once, and all of it only if no entry sends it.
func TestALongListIsReadByOne(t *testing.T) {
	for name, test := range map[string]struct {
		// fed is when a peer sends the full list, requested when a full read is requested.
		fed       time.Duration
		requested time.Duration
		// earliest and latest bound when the full list is known; read is the number of full reads of the store.
		earliest, latest time.Duration
		read             int
	}{
		"a peer sends the list":    {fed: 500 * time.Millisecond, earliest: 500 * time.Millisecond, latest: 500 * time.Millisecond},
		"this entry reads for all": {requested: 300 * time.Millisecond, earliest: 300 * time.Millisecond, latest: 300 * time.Millisecond, read: 1},
		"no peer sends the list":   {earliest: entryFullReadDelay, latest: 2 * entryFullReadDelay, read: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &longStore{countingStore: countingStore{servers: discovery.Servers{Present: serversWithIDs("a", "b"), Cursor: discovery.Cursor{Position: 2}}}}
				source := NewEntrySource(store, time.Second)
				began := time.Now()
				first, err := source.Servers(t.Context())
				if err != nil || !first.Partial || time.Since(began) > 0 || !source.AwaitingFullList() {
					t.Fatalf("first %+v, %v after %s", first, err, time.Since(began))
				}
				if test.fed > 0 {
					time.AfterFunc(test.fed, func() { source.ApplyServers(&link.Servers{Reset: true, Present: serversWithIDs("a", "b")}) })
				}
				if test.requested > 0 {
					time.AfterFunc(test.requested, source.RequestFullRead)
				}
				full, err := source.Servers(t.Context())
				if err != nil || full.Partial || !slices.Equal(ids(full.Present), []string{"a", "b"}) || source.AwaitingFullList() {
					t.Errorf("then %+v, %v", full, err)
				}
				if took := time.Since(began); took < test.earliest || took > test.latest || store.reads != test.read || store.partialReads != 1 {
					t.Errorf("known after %s, want %s to %s; read %d times, want %d", took, test.earliest, test.latest, store.reads, test.read)
				}
			})
		})
	}
}

// TestAnEntryLeavesTheListToOthers checks that an entry with a delay reads the list only when no feed has started until then, and that the
// delay ends when it is taken back.
func TestAnEntryLeavesTheListToOthers(t *testing.T) {
	const delay = 5 * time.Second
	for name, test := range map[string]struct {
		// during runs a second after the feed is lost.
		during func(source *EntrySource)
		want   time.Duration
		reads  int
	}{
		"no feed":                   {func(*EntrySource) {}, delay, 1},
		"a feed starts":             {func(s *EntrySource) { s.ApplyServers(&link.Servers{Reset: true, Present: serversWithIDs("a")}) }, time.Second, 0},
		"the delay is taken back":   {func(s *EntrySource) { s.SetListDelay(0) }, time.Second, 1},
		"the delay becomes shorter": {func(s *EntrySource) { s.SetListDelay(delay / 2) }, delay / 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &countingStore{servers: discovery.Servers{Present: serversWithIDs("a"), Cursor: discovery.Cursor{Position: 7}}}
				source := NewEntrySource(store, time.Second)
				source.SetListDelay(delay)
				source.ApplyServers(&link.Servers{Reset: true, Present: serversWithIDs("a", "b")})
				full, err := source.Servers(t.Context())
				if err != nil {
					t.Fatal(err)
				}
				source.PeerLost()
				began := time.Now()
				time.AfterFunc(time.Second, func() { test.during(source) })
				changes, err := source.ServersAfter(t.Context(), full.Cursor, 10*time.Second)
				if took := time.Since(began); err != nil || !slices.Equal(changes.Removed, []string{"b"}) || took != test.want || store.reads != test.reads {
					t.Errorf("%+v, %v after %s with %d reads, want %s and %d", changes, err, took, store.reads, test.want, test.reads)
				}
			})
		})
	}
}
