package box

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coralstair/coralstair/membership"
	"github.com/coralstair/coralstair/swarm"
)

// slowList is a list of live boxes that answers after a while, or never.
type slowList struct {
	after   time.Duration
	members []membership.Member
}

func (l slowList) Members(ctx context.Context) ([]membership.Member, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(l.after):
	}
	if l.members == nil {
		return nil, errors.New("away")
	}
	return l.members, nil
}

// TestBoxKnowsWhoTakesPartBeforeItDraws: until the list of live boxes has been read a box does not take itself for the only one,
// which would draw all chunks at once; when the list stays away it does after a while.
func TestBoxKnowsWhoTakesPartBeforeItDraws(t *testing.T) {
	self := swarm.Member{ID: "b", Site: "s"}
	listed := []membership.Member{{ID: "a", Role: membership.RoleBox, Site: "s"}, {ID: "b", Role: membership.RoleBox, Site: "s"}}
	tests := map[string]struct {
		list  slowList
		after time.Duration
		want  int
	}{
		"not read yet":         {slowList{after: time.Second, members: listed}, 500 * time.Millisecond, 0},
		"read late":            {slowList{after: time.Second, members: listed}, 1500 * time.Millisecond, 2},
		"away for a while":     {slowList{after: time.Second}, 2500 * time.Millisecond, 0},
		"away for longer":      {slowList{after: time.Second}, 3500 * time.Millisecond, 1},
		"read, and names none": {slowList{members: []membership.Member{}}, 500 * time.Millisecond, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := New(Config{ID: "b", Params: swarm.Params{Self: self}, List: test.list, ListInterval: time.Second})
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { defer close(done); _ = b.members.Serve(ctx) }()
				time.Sleep(test.after)
				if members := b.swarmMembers(); len(members) != test.want {
					t.Errorf("%d boxes take part, want %d", len(members), test.want)
				}
				cancel()
				<-done
			})
		})
	}
}
