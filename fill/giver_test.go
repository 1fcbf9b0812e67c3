package fill

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestWaitedCountsOthersOnly(t *testing.T) {
	const other, own = 300 * time.Millisecond, 700 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		g := &giver{woken: make(chan struct{}, 1)}
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
