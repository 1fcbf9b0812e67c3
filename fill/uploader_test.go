package fill

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestWaitedCountsOthersOnly(t *testing.T) {
	const other, own = 300 * time.Millisecond, 700 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		up := &uploader{wakeup: make(chan struct{}, 1)}
		slow, quick := &inboundLink{}, &inboundLink{}
		up.add(pieceRequest{link: quick, piece: 1})
		up.add(pieceRequest{link: slow, piece: 2})
		up.add(pieceRequest{link: slow, piece: 3})
		for i, want := range []time.Duration{0, other, other} {
			next, ok := up.dequeue()
			if !ok {
				t.Fatal("no request is queued")
			}
			if waited := up.startUpload(next); waited != want {
				t.Errorf("piece %d waited %s for other boxes, want %s", next.piece, waited, want)
			}
			time.Sleep([]time.Duration{other, own, own}[i])
			up.endUpload(next)
		}
	})
}

func TestUploaderServesEarliestLoadFirst(t *testing.T) {
	near := func(turn uint64) pieceRequest { return pieceRequest{piece: int(turn), loadPlace: turn} }
	for name, test := range map[string]struct {
		queue []pieceRequest
		want  int
	}{
		"earliest turn":           {[]pieceRequest{near(7), near(2), near(5)}, 2},
		"other site before turns": {[]pieceRequest{near(2), {piece: 9, loadPlace: 9, otherSite: true}, near(1)}, 9},
		"first request of a box":  {[]pieceRequest{{piece: 4, loadPlace: 3}, {piece: 6, loadPlace: 3}}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			up := &uploader{queue: test.queue}
			if next, ok := up.dequeue(); !ok || next.piece != test.want {
				t.Errorf("uploads piece %d, want %d", next.piece, test.want)
			}
		})
	}
}
