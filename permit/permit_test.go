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

// TestDrawsBounded has many boxes ask for the same group at once: no more get a permit than the origin's link carries.
func TestDrawsBounded(t *testing.T) {
	for name, lost := range map[string]int{"answers come": 0, "answers lost": 3} {
		t.Run(name, func(t *testing.T) {
			table := newTable(t)
			table.Service.Faults.LoseAnswers(lost)
			var granted atomic.Int64
			var running sync.WaitGroup
			for i := range 12 {
				draws := &permit.Draws{Table: table, Holder: fmt.Sprint("box-", i)}
				running.Go(func() {
					if ok, err := draws.Take(context.Background(), weights.DigestOf(nil), 7, i%swarm.MaxPermits); err == nil && ok {
						granted.Add(1)
					}
				})
			}
			running.Wait()
			if n := granted.Load(); n != swarm.MaxPermits {
				t.Errorf("%d permits for one group, want %d", n, swarm.MaxPermits)
			}
		})
	}
}

func TestDrawsAgainNeedsAnotherPermit(t *testing.T) {
	draws := &permit.Draws{Table: newTable(t), Holder: "box"}
	for i := range swarm.MaxPermits + 1 {
		ok, err := draws.Take(context.Background(), weights.DigestOf(nil), 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		if want := i < swarm.MaxPermits; ok != want {
			t.Errorf("permit %d: %v, want %v", i+1, ok, want)
		}
	}
}

func TestDrains(t *testing.T) {
	ctx := context.Background()
	table := newTable(t)
	a := &permit.Drains{Table: table, Fleet: "f", Holder: "a"}
	b := &permit.Drains{Table: table, Fleet: "f", Holder: "b"}
	slot, ok, err := a.Take(ctx, "s", 1)
	if err != nil || !ok {
		t.Fatalf("first permit: %v, %v", ok, err)
	}
	if _, ok, _ := b.Take(ctx, "s", 1); ok {
		t.Error("two boxes drain where one may")
	}
	if slot, err = a.Renew(ctx, slot); err != nil || slot.Due(time.Now()) {
		t.Errorf("renewed permit: %v", err)
	}
	if err := a.Release(ctx, slot); err != nil {
		t.Fatal(err)
	}
	if _, ok, err := b.Take(ctx, "s", 1); err != nil || !ok {
		t.Errorf("a permit given back can't be had: %v, %v", ok, err)
	}
}

func TestDrainLapses(t *testing.T) {
	ctx := context.Background()
	table := newTable(t)
	key := store.Key{Partition: "drains#f#s", Sort: "0000"}
	dead := store.Row{Key: key, Number: time.Now().Add(-time.Second).UnixMilli(), Body: []byte("dead")}
	if err := table.Put(ctx, store.Put{Row: dead}); err != nil {
		t.Fatal(err)
	}
	drains := &permit.Drains{Table: table, Fleet: "f", Holder: "next"}
	if _, ok, err := drains.Take(ctx, "s", 1); err != nil || !ok {
		t.Errorf("the permit of a dead box can't be had: %v, %v", ok, err)
	}
}

func TestEpochGrows(t *testing.T) {
	ctx := context.Background()
	table := newTable(t)
	first, err := permit.Epoch(ctx, table, "f", "b")
	if err != nil {
		t.Fatal(err)
	}
	table.Service.Faults.LoseAnswers(1)
	second, err := permit.Epoch(ctx, table, "f", "b")
	if err != nil || second <= first {
		t.Errorf("epoch %d after %d: %v", second, first, err)
	}
	if current, err := permit.Current(ctx, table, "f", "b", first); err != nil || current {
		t.Errorf("an earlier daemon's epoch counts as current: %v", err)
	}
}
