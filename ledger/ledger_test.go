package ledger_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/lab"
	"github.com/coralstair/coralstair/ledger"
)

func newLedger(t *testing.T) (*ledger.Ledger, *lab.Table) {
	t.Helper()
	local := lab.NewLocalTable()
	t.Cleanup(local.Close)
	return ledger.New(local), local.Service
}

func stop(operation, box string) fleet.Change {
	return fleet.Change{Fleet: "f", Operation: operation, Operator: "op-" + operation, Statement: "stop box " + box, StopBoxes: []string{box}}
}

func TestCommit(t *testing.T) {
	for name, tc := range map[string]struct {
		before func(*testing.T, *ledger.Ledger, *lab.Table)
		base   fleet.Revision
		check  func(*testing.T, fleet.Config, error)
	}{
		"first": {
			check: func(t *testing.T, cfg fleet.Config, err error) {
				if err != nil || cfg.Revision != 1 || !cfg.Stopped["b1"] {
					t.Errorf("got %+v, %v", cfg, err)
				}
			},
		},
		"response lost": {
			before: func(_ *testing.T, _ *ledger.Ledger, table *lab.Table) { table.Faults.LoseResponses(1) },
			check: func(t *testing.T, cfg fleet.Config, err error) {
				if err != nil || cfg.Revision != 1 {
					t.Errorf("a lost response was not resolved: %+v, %v", cfg, err)
				}
			},
		},
		"several responses lost": {
			before: func(_ *testing.T, _ *ledger.Ledger, table *lab.Table) { table.Faults.LoseResponses(5) },
			check: func(t *testing.T, cfg fleet.Config, err error) {
				if err != nil || cfg.Revision != 1 {
					t.Errorf("lost responses were not resolved: %+v, %v", cfg, err)
				}
			},
		},
		"change by another operator first": {
			before: func(t *testing.T, l *ledger.Ledger, _ *lab.Table) {
				if _, err := l.Commit(context.Background(), fleet.Config{Fleet: "f"}, stop("other", "b9")); err != nil {
					t.Fatal(err)
				}
			},
			check: func(t *testing.T, _ fleet.Config, err error) {
				var conflict *ledger.ConflictError
				if !errors.As(err, &conflict) || len(conflict.Since) != 1 || conflict.Since[0].Operator != "op-other" {
					t.Errorf("error %v, want a conflict that lists the other change", err)
				}
			},
		},
		"table unavailable": {
			before: func(_ *testing.T, _ *ledger.Ledger, table *lab.Table) { table.Faults.SetUnavailable(true) },
			check: func(t *testing.T, _ fleet.Config, err error) {
				var unknown *ledger.UnknownError
				if !errors.As(err, &unknown) {
					t.Errorf("error %v, want unknown: a request without a response may still take effect", err)
				}
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, table := newLedger(t)
			if tc.before != nil {
				tc.before(t, l, table)
			}
			cfg, err := l.Commit(context.Background(), fleet.Config{Fleet: "f", Revision: tc.base}, stop("one", "b1"))
			tc.check(t, cfg, err)
		})
	}
}

// TestOperatorsRace checks concurrent commits with lost responses: every accepted change is in the history once, refused
// changes are not, and revisions have no gaps.
func TestOperatorsRace(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		local := lab.NewLocalTable()
		defer local.Close()
		l := ledger.New(local)
		ctx := context.Background()
		operators := rapid.IntRange(2, 5).Draw(rt, "operators")
		local.Service.Faults.LoseResponses(rapid.IntRange(0, 4).Draw(rt, "lost"))
		accepted := make([]bool, operators)
		var running sync.WaitGroup
		for i := range operators {
			running.Go(func() {
				for range 4 * operators {
					base, err := l.Load(ctx, "f")
					if err != nil {
						continue
					}
					if _, err = l.Commit(ctx, base, stop(fmt.Sprint("op", i), fmt.Sprint("b", i))); err == nil {
						accepted[i] = true
						return
					}
				}
			})
		}
		running.Wait()
		history, err := l.History(ctx, "f", 100)
		if err != nil {
			rt.Fatal(err)
		}
		seen := make(map[string]int)
		for i, change := range history {
			if want := fleet.Revision(len(history) - i); change.Revision != want {
				rt.Fatalf("revision %d at index %d, want %d", change.Revision, i, want)
			}
			seen[change.Operation]++
		}
		cfg, err := l.Load(ctx, "f")
		if err != nil || int(cfg.Revision) != len(history) {
			rt.Fatalf("configuration at %d, history has %d: %v", cfg.Revision, len(history), err)
		}
		for i, ok := range accepted {
			if n := seen[fmt.Sprint("op", i)]; ok && n != 1 || !ok && n != 0 {
				rt.Fatalf("operator %d: accepted %v, %d times in the history", i, ok, n)
			}
		}
	})
}
