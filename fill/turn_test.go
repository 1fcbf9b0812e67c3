package fill

import (
	"testing"
	"time"
)

func TestTurns(t *testing.T) {
	named := time.Unix(100, 0)
	deadline := named.Add(8 * time.Second)
	var last time.Time
	for rank := range 20 {
		turn := Turn(named, deadline, rank, 20)
		if turn.Before(named.Add(usualFetchTime)) || turn.After(deadline.Add(-loadMargin)) || turn.Before(last) {
			t.Errorf("turn %d comes %s after the version was named", rank, turn.Sub(named))
		}
		last = turn
	}
	if turn := Turn(named, named.Add(time.Second), 3, 20); turn.After(named.Add(usualFetchTime)) {
		t.Errorf("a late server's turn is %s after the version was named", turn.Sub(named))
	}
}

func TestRanksAreDistinct(t *testing.T) {
	ids := []string{"a", "b", "c", "d"}
	seen := make(map[int]bool)
	for _, id := range ids {
		rank, n := Rank(id, ids)
		if n != len(ids) || seen[rank] {
			t.Errorf("%s has rank %d of %d, which another host has too", id, rank, n)
		}
		seen[rank] = true
	}
}
