package peersource

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
)

// largeStore is the store of a fleet with many servers; it counts the full reads of what is declared.
type largeStore struct {
	discovery.Source
	servers []contract.Server
	mu      sync.Mutex
	// declared are the times of the full reads of what is declared.
	declared []time.Time
}

func (s *largeStore) Declared(context.Context) (discovery.Declared, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.declared = append(s.declared, time.Now())
	return discovery.Declared{Config: contract.NewConfig(1, contract.Limits{}, nil, nil, nil)}, nil
}

func (s *largeStore) Servers(context.Context) (discovery.Servers, error) {
	return discovery.Servers{Present: s.servers}, nil
}

func (s *largeStore) SomeServers(_ context.Context, limit int) (discovery.Servers, error) {
	if len(s.servers) <= limit {
		return discovery.Servers{Present: s.servers}, nil
	}
	return discovery.Servers{Present: s.servers[:limit], Partial: true}, nil
}

// TestBoxesOfALargeFleetLeaveTheStoreToEntries starts boxes that no entry feeds: those of a small fleet read what is declared soon, those of a
// large one only when entries have had time for their own reads.
func TestBoxesOfALargeFleetLeaveTheStoreToEntries(t *testing.T) {
	const boxes = 20
	for n, limits := range map[int]struct{ from, to time.Duration }{
		20:  {entryTimeout, entryTimeout + entryTimeoutJitter + 2*declaredReadDelayAtStart},
		700: {boxFullReadDelay, 2*boxFullReadDelay + time.Second},
	} {
		t.Run(fmt.Sprint(n, " servers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &largeStore{}
				for i := range n {
					store.servers = append(store.servers, contract.Server{ID: fmt.Sprint(i), Service: "s"})
				}
				began := time.Now()
				var wg sync.WaitGroup
				for range boxes {
					source := New(store)
					wg.Go(func() { _, _ = source.Servers(t.Context()) })
					wg.Go(func() { _, _ = source.Declared(t.Context()) })
				}
				wg.Wait()
				if len(store.declared) != boxes {
					t.Fatalf("%d of %d boxes read what is declared", len(store.declared), boxes)
				}
				for _, at := range store.declared {
					if took := at.Sub(began); took < limits.from || took > limits.to {
						t.Errorf("a box reads what is declared after %s, want %s to %s", took, limits.from, limits.to)
					}
				}
			})
		})
	}
}
