package fill

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestWaitedCountsOthersOnly(t *testing.T) {
	const other, own = 300 * time.Millisecond, 700 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		g := &uploader{woken: make(chan struct{}, 1)}
		slow, quick := &inLink{}, &inLink{}
		g.add(ask{link: quick, piece: 1})
		g.add(ask{link: slow, piece: 2})
		g.add(ask{link: slow, piece: 3})
		for i, want := range []time.Duration{0, other, other} {
			next, ok := g.take()
			if !ok {
				t.Fatal("nothing waits")
			}
			if waited := g.begin(next); waited != want {
				t.Errorf("piece %d waited %s for others, want %s", next.piece, waited, want)
			}
			time.Sleep([]time.Duration{other, own, own}[i])
			g.end(next)
		}
	})
}

func TestGiverServesThoseThatLoadFirst(t *testing.T) {
	near := func(turn uint64) ask { return ask{piece: int(turn), turn: turn} }
	for name, test := range map[string]struct {
		queue []ask
		want  int
	}{
		"the earliest turn":         {[]ask{near(7), near(2), near(5)}, 2},
		"another site before turns": {[]ask{near(2), {piece: 9, turn: 9, far: true}, near(1)}, 9},
		"of one box the first":      {[]ask{{piece: 4, turn: 3}, {piece: 6, turn: 3}}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			g := &uploader{queue: test.queue}
			if next, ok := g.take(); !ok || next.piece != test.want {
				t.Errorf("gives piece %d, want %d", next.piece, test.want)
			}
		})
	}
}
