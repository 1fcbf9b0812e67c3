package entry

import (
	"net/http"
	"testing"
	"time"
)

// What callers would see: while the only box of a service loads a new version, a request that crossed its closing waits until
// its deadline though the box serves again after a moment, and with it all that wait at the entry; beside two boxes that
// refuse at the same moment a request ends as "not run" within a millisecond. The order of events: a box that closes refuses
// what is on its way; the entry notes it as tried and asks the others; once all were tried, the last stays noted for good, so
// that with one box none is left, and with several the rounds go on without a pause until the turns are used up.

// refusesFirst refuses so many requests, closed as the box of a new version is, and answers those after.
func refusesFirst(refusals int, closed time.Duration) answering {
	return func(b *fakeBox, n int, id uint64) {
		if n > refusals {
			good(b, n, id)
			return
		}
		refuse(b, n, id)
		b.tell(false, false)
		time.AfterFunc(closed, func() { b.tell(true, false) })
	}
}

// TestRefusalsLeaveTheRequest proves that a request which boxes did not run is run once one that serves takes it again.
func TestRefusalsLeaveTheRequest(t *testing.T) {
	const closed = 20 * time.Millisecond
	leaves := func(b *fakeBox, n int, id uint64) {
		refuse(b, n, id)
		b.tell(true, true)
	}
	for name, answers := range map[string][]answering{
		"the only box closes for a moment":           {refusesFirst(1, closed)},
		"the only box closes again and again":        {refusesFirst(2*maxTurns, closed)},
		"both boxes close at the same moment":        {refusesFirst(1, closed), refusesFirst(1, closed)},
		"one box leaves while the other one closes":  {leaves, refusesFirst(1, closed)},
		"one box takes it after the other's refusal": {refusesFirst(1, time.Hour), good},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newBoxWorld(t, answers...)
			began := time.Now()
			got := w.ask(3 * time.Second)
			if got.Code != http.StatusOK || got.Body.String() != "hello" {
				t.Errorf("status %d, body %q after %s", got.Code, got.Body, time.Since(began))
			}
		})
	}
}

// TestRefusalsAreNotAskedForAgain proves that a box which refused is left alone until it has told news.
func TestRefusalsAreNotAskedForAgain(t *testing.T) {
	t.Parallel()
	w := newBoxWorld(t, refuse, refuse)
	got := w.ask(300 * time.Millisecond)
	if got.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d, body %q", got.Code, got.Body)
	}
	for i, b := range w.boxes {
		if n := b.asked(); n != 1 {
			t.Errorf("box %d was asked %d times", i, n)
		}
	}
}
