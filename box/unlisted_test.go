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

// slowList returns the list of live boxes after a delay, or an error if it has no members.
type slowList struct {
	delay   time.Duration
	members []membership.Member
}

func (l slowList) Members(ctx context.Context) ([]membership.Member, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(l.delay):
	}
	if l.members == nil {
		return nil, errors.New("unreachable")
	}
	return l.members, nil
}

// TestBoxWaitsForListBeforeDownloading checks that a box assumes to be the only one, and so downloads all chunks, only after the
// list of live boxes was read or could not be read for a while.
func TestBoxWaitsForListBeforeDownloading(t *testing.T) {
	self := swarm.Member{ID: "b", Site: "s"}
	listed := []membership.Member{{ID: "a", Role: membership.RoleBox, Site: "s"}, {ID: "b", Role: membership.RoleBox, Site: "s"}}
	tests := map[string]struct {
		list  slowList
		after time.Duration
		want  int
	}{
		"not read yet":       {slowList{delay: time.Second, members: listed}, 500 * time.Millisecond, 0},
		"read late":          {slowList{delay: time.Second, members: listed}, 1500 * time.Millisecond, 2},
		"unreachable, early": {slowList{delay: time.Second}, 2500 * time.Millisecond, 0},
		"unreachable, late":  {slowList{delay: time.Second}, 3500 * time.Millisecond, 1},
		"read, but empty":    {slowList{members: []membership.Member{}}, 500 * time.Millisecond, 1},
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
					t.Errorf("%d members, want %d", len(members), test.want)
				}
				cancel()
				<-done
			})
		})
	}
}
