package permit_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coralstair/coralstair/lab"
	"github.com/coralstair/coralstair/permit"
	"github.com/coralstair/coralstair/store"
	"github.com/coralstair/coralstair/swarm"
	"github.com/coralstair/coralstair/weights"
)

func newTable(t *testing.T) *lab.LocalTable {
	t.Helper()
	local := lab.NewLocalTable()
	t.Cleanup(local.Close)
	return local
}

// TestDrawsBounded checks that concurrent boxes get at most swarm.MaxPermits permits for a group.
func TestDrawsBounded(t *testing.T) {
	for name, lost := range map[string]int{"responses arrive": 0, "responses lost": 3} {
		t.Run(name, func(t *testing.T) {
			table := newTable(t)
			table.Service.Faults.LoseResponses(lost)
			var granted atomic.Int64
			var wg sync.WaitGroup
			for i := range 12 {
				downloads := &permit.Downloads{Table: table, Holder: fmt.Sprint("box-", i)}
				wg.Go(func() {
					if ok, err := downloads.Acquire(context.Background(), weights.DigestOf(nil), 7, i%swarm.MaxPermits); err == nil && ok {
						granted.Add(1)
					}
				})
			}
			wg.Wait()
			if n := granted.Load(); n != swarm.MaxPermits {
				t.Errorf("%d permits for one group, want %d", n, swarm.MaxPermits)
			}
		})
	}
}

func TestDrawsAgainNeedsAnotherPermit(t *testing.T) {
	downloads := &permit.Downloads{Table: newTable(t), Holder: "box"}
	for i := range swarm.MaxPermits + 1 {
		ok, err := downloads.Acquire(context.Background(), weights.DigestOf(nil), 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		if want := i < swarm.MaxPermits; ok != want {
			t.Errorf("permit %d: %v, want %v", i+1, ok, want)
		}
	}
}

func TestDrainLeases(t *testing.T) {
	ctx := context.Background()
	table := newTable(t)
	a := &permit.Drains{Table: table, Fleet: "f", Holder: "a"}
	b := &permit.Drains{Table: table, Fleet: "f", Holder: "b"}
	lease, ok, err := a.Acquire(ctx, "s", 1)
	if err != nil || !ok {
		t.Fatalf("first lease: %v, %v", ok, err)
	}
	if _, ok, _ := b.Acquire(ctx, "s", 1); ok {
		t.Error("two boxes hold a lease, want one")
	}
	if lease, err = a.Renew(ctx, lease); err != nil || lease.NeedsRenewal(time.Now()) {
		t.Errorf("renewed lease is due, or error: %v", err)
	}
	if err := a.Release(ctx, lease); err != nil {
		t.Fatal(err)
	}
	if _, ok, err := b.Acquire(ctx, "s", 1); err != nil || !ok {
		t.Errorf("a released lease cannot be acquired: %v, %v", ok, err)
	}
}

func TestDrainLeaseExpires(t *testing.T) {
	ctx := context.Background()
	table := newTable(t)
	key := store.Key{Partition: "drains#f#s", Sort: "0000"}
	expired := store.Row{Key: key, Number: time.Now().Add(-time.Second).UnixMilli(), Body: []byte("dead")}
	if err := table.Put(ctx, store.Put{Row: expired}); err != nil {
		t.Fatal(err)
	}
	drains := &permit.Drains{Table: table, Fleet: "f", Holder: "next"}
	if _, ok, err := drains.Acquire(ctx, "s", 1); err != nil || !ok {
		t.Errorf("an expired lease cannot be acquired: %v, %v", ok, err)
	}
}

func TestEpochGrows(t *testing.T) {
	ctx := context.Background()
	table := newTable(t)
	first, err := permit.NextEpoch(ctx, table, "f", "b")
	if err != nil {
		t.Fatal(err)
	}
	table.Service.Faults.LoseResponses(1)
	second, err := permit.NextEpoch(ctx, table, "f", "b")
	if err != nil || second <= first {
		t.Errorf("epoch %d after %d: %v", second, first, err)
	}
	if current, err := permit.IsCurrent(ctx, table, "f", "b", first); err != nil || current {
		t.Errorf("an earlier epoch counts as current: %v", err)
	}
}
