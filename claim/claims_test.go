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

func newClaim(claimant string) claim.Claim {
	return claim.Claim{Claimant: claimant, BodyHash: "h", Deadline: time.Now().Add(time.Minute)}
}

// TestTakeAtMostOnce checks that one of several concurrent claims succeeds, also when responses of the table are lost.
func TestTakeAtMostOnce(t *testing.T) {
	for name, lost := range map[string]int{"responses arrive": 0, "one response lost": 1, "responses lost": 4} {
		t.Run(name, func(t *testing.T) {
			claims, table := newClaims(t)
			table.Faults.LoseResponses(lost)
			var acquired atomic.Int64
			var wg sync.WaitGroup
			for i := range 8 {
				wg.Go(func() {
					if claims.Acquire(context.Background(), "team", "key", newClaim(fmt.Sprint(i))) == nil {
						acquired.Add(1)
					}
				})
			}
			wg.Wait()
			if n := acquired.Load(); n != 1 {
				t.Errorf("%d of 8 may run the request, want 1", n)
			}
		})
	}
}

func TestTakeAgain(t *testing.T) {
	response := &claim.Response{Status: 200, Body: []byte("done")}
	for name, tc := range map[string]struct {
		first  claim.Claim
		settle claim.Status
		second claim.Claim
		want   claim.Status
		runs   bool
		reused bool
	}{
		"in progress":        {first: newClaim("a"), second: newClaim("b"), want: claim.StatusClaimed},
		"done":               {first: newClaim("a"), settle: claim.StatusDone, second: newClaim("b"), want: claim.StatusDone},
		"unknown":            {first: newClaim("a"), settle: claim.StatusUnknown, second: newClaim("b"), want: claim.StatusUnknown},
		"not run":            {first: newClaim("a"), settle: claim.StatusNotRun, second: newClaim("b"), runs: true},
		"entry exited":       {first: claim.Claim{Claimant: "a", BodyHash: "h", Deadline: time.Now().Add(-time.Hour)}, second: newClaim("b"), want: claim.StatusUnknown},
		"different request":  {first: newClaim("a"), second: claim.Claim{Claimant: "b", BodyHash: "other"}, reused: true},
		"same attempt again": {first: newClaim("a"), second: newClaim("a"), runs: true},
	} {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			claims, _ := newClaims(t)
			if err := claims.Acquire(ctx, "team", "key", tc.first); err != nil {
				t.Fatal(err)
			}
			if tc.settle != 0 {
				settled := tc.first
				settled.Response = response
				if err := claims.Settle(ctx, "team", "key", tc.settle, settled); err != nil {
					t.Fatal(err)
				}
			}
			err := claims.Acquire(ctx, "team", "key", tc.second)
			var claimed *claim.ClaimedError
			var mismatch *claim.MismatchError
			switch {
			case tc.runs && err != nil:
				t.Errorf("error %v, want none", err)
			case tc.reused && !errors.As(err, &mismatch):
				t.Errorf("error %v, want a mismatch", err)
			case tc.want != 0 && (!errors.As(err, &claimed) || claimed.Status != tc.want):
				t.Errorf("error %v, want status %d", err, tc.want)
			}
		})
	}
}

func TestTakeOut(t *testing.T) {
	claims, table := newClaims(t)
	table.Faults.SetUnavailable(true)
	var unavailable *claim.UnavailableError
	if err := claims.Acquire(context.Background(), "team", "key", newClaim("a")); !errors.As(err, &unavailable) {
		t.Errorf("error %v, want UnavailableError while the table is down", err)
	}
}
