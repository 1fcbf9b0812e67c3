package claim_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coralstair/coralstair/claim"
	"github.com/coralstair/coralstair/lab"
)

func newClaims(t *testing.T) (*claim.Claims, *lab.Table) {
	t.Helper()
	local := lab.NewLocalTable()
	t.Cleanup(local.Close)
	return &claim.Claims{Table: local}, local.Service
}

func claimOf(claimant string) claim.Claim {
	return claim.Claim{Claimant: claimant, BodyHash: "h", Deadline: time.Now().Add(time.Minute)}
}

// TestTakeAtMostOnce has entries claim the same request at once, with answers of the table lost: one may run it.
func TestTakeAtMostOnce(t *testing.T) {
	for name, lost := range map[string]int{"answers come": 0, "an answer lost": 1, "answers lost": 4} {
		t.Run(name, func(t *testing.T) {
			claims, table := newClaims(t)
			table.Faults.LoseAnswers(lost)
			var won atomic.Int64
			var running sync.WaitGroup
			for i := range 8 {
				running.Go(func() {
					if claims.Take(context.Background(), "team", "key", claimOf(fmt.Sprint(i))) == nil {
						won.Add(1)
					}
				})
			}
			running.Wait()
			if n := won.Load(); n != 1 {
				t.Errorf("%d of 8 may run the request, want 1", n)
			}
		})
	}
}

func TestTakeAgain(t *testing.T) {
	answer := &claim.Answer{Status: 200, Body: []byte("done")}
	for name, tc := range map[string]struct {
		first  claim.Claim
		settle claim.Status
		second claim.Claim
		want   claim.Status
		runs   bool
		reused bool
	}{
		"in progress":       {first: claimOf("a"), second: claimOf("b"), want: claim.StatusClaimed},
		"done":              {first: claimOf("a"), settle: claim.StatusDone, second: claimOf("b"), want: claim.StatusDone},
		"unknown":           {first: claimOf("a"), settle: claim.StatusUnknown, second: claimOf("b"), want: claim.StatusUnknown},
		"not run":           {first: claimOf("a"), settle: claim.StatusNotRun, second: claimOf("b"), runs: true},
		"entry died":        {first: claim.Claim{Claimant: "a", BodyHash: "h", Deadline: time.Now().Add(-time.Hour)}, second: claimOf("b"), want: claim.StatusUnknown},
		"another request":   {first: claimOf("a"), second: claim.Claim{Claimant: "b", BodyHash: "other"}, reused: true},
		"same attempt once": {first: claimOf("a"), second: claimOf("a"), runs: true},
	} {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			claims, _ := newClaims(t)
			if err := claims.Take(ctx, "team", "key", tc.first); err != nil {
				t.Fatal(err)
			}
			if tc.settle != 0 {
				settled := tc.first
				settled.Answer = answer
				if err := claims.Settle(ctx, "team", "key", tc.settle, settled); err != nil {
					t.Fatal(err)
				}
			}
			err := claims.Take(ctx, "team", "key", tc.second)
			var held *claim.HeldError
			var mismatch *claim.MismatchError
			switch {
			case tc.runs && err != nil:
				t.Errorf("error %v, want that it may run", err)
			case tc.reused && !errors.As(err, &mismatch):
				t.Errorf("error %v, want a mismatch", err)
			case tc.want != 0 && (!errors.As(err, &held) || held.Status != tc.want):
				t.Errorf("error %v, want status %d", err, tc.want)
			}
		})
	}
}

func TestTakeOut(t *testing.T) {
	claims, table := newClaims(t)
	table.Faults.SetOut(true)
	var unavailable *claim.UnavailableError
	if err := claims.Take(context.Background(), "team", "key", claimOf("a")); !errors.As(err, &unavailable) {
		t.Errorf("error %v, want unavailable: nothing may run without a claim", err)
	}
}
