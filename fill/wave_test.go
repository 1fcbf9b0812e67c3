package fill

import (
	"testing"
	"time"
)

func TestTurns(t *testing.T) {
	named := time.Unix(100, 0)
	due := named.Add(8 * time.Second)
	var last time.Time
	for rank := range 20 {
		turn := Turn(named, due, rank, 20)
		if turn.Before(named.Add(fillTime)) || turn.After(due.Add(-loadMargin)) || turn.Before(last) {
			t.Errorf("turn %d comes %s after the version was named", rank, turn.Sub(named))
		}
		last = turn
	}
	if turn := Turn(named, named.Add(time.Second), 3, 20); turn.After(named.Add(fillTime)) {
		t.Errorf("a server that is late waits until %s", turn.Sub(named))
	}
}

func TestRanksDiffer(t *testing.T) {
	ids := []string{"a", "b", "c", "d"}
	seen := make(map[int]bool)
	for _, id := range ids {
		rank, n := Rank(id, ids)
		if n != len(ids) || seen[rank] {
			t.Errorf("%s has rank %d of %d, which another has too", id, rank, n)
		}
		seen[rank] = true
	}
}
