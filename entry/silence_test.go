package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/coralstair/coralstair/link"
)

// What callers would see: a stream ends in the event of an error though its box goes on with it. The order of events: a box
// tells nothing of itself for 2.5 s, as one that starves for processor time beside a load does; the entry cancels all that
// may be run again there, and among it a stream of which the caller has the beginning, and which no other box can go on
// with; or a request of which the caller has nothing yet, though no other box serves. The cause: an answer was given up that
// nothing else could hold.

// paused begins an answer, and ends it after a pause in which the box tells nothing.
func paused(kind, begin, rest string, pause time.Duration) answering {
	return func(b *fakeBox, _ int, id uint64) {
		b.head(id, kind)
		b.data(id, begin)
		time.Sleep(pause)
		b.data(id, rest)
		b.end(id, link.OutcomeRan)
	}
}

// late answers whole after a pause in which the box tells nothing.
func late(pause time.Duration) answering {
	return func(b *fakeBox, n int, id uint64) {
		time.Sleep(pause)
		good(b, n, id)
	}
}

// newBesides returns an entry with a box that tells nothing after its beginning, and one that serves from a little later on.
func newBesides(t *testing.T, silent answering) *boxWorld {
	t.Helper()
	w := newBoxWorld(t, silent, good)
	w.boxes[1].tell(false, false)
	w.await(func() bool { return w.offering() == 1 })
	time.AfterFunc(suspectAfter-time.Second, func() { w.boxes[1].tell(true, false) })
	return w
}

// TestSilentBoxKeepsWhatNoOtherServes proves that a request stays with its silent box while no other serves.
func TestSilentBoxKeepsWhatNoOtherServes(t *testing.T) {
	t.Parallel()
	const pause = suspectAfter + time.Second
	w := newBoxWorld(t, late(pause))
	if got := w.ask(2 * pause); got.Code != http.StatusOK || got.Body.String() != "hello" {
		t.Errorf("status %d, body %q", got.Code, got.Body)
	}
}

// TestSilentBoxIsGivenUp proves that a request goes on at another box that serves when its own falls silent.
func TestSilentBoxIsGivenUp(t *testing.T) {
	t.Parallel()
	w := newBesides(t, late(time.Hour))
	if got := w.ask(2 * suspectAfter); got.Code != http.StatusOK || got.Body.String() != "hello" {
		t.Errorf("status %d, body %q", got.Code, got.Body)
	}
}

// TestSilentBoxKeepsWhatNothingElseCanHold proves that a begun answer stays with its silent box when it can't go on elsewhere.
func TestSilentBoxKeepsWhatNothingElseCanHold(t *testing.T) {
	const pause = suspectAfter + time.Second
	long := string(make([]byte, bufferLimit))
	for name, test := range map[string]struct{ kind, begin, rest string }{
		"a stream that engines can not go on with":  {"text/event-stream", "data: 1\n\n", "data: 2\n\n"},
		"an answer too long to be held until whole": {"text/plain", long, "rest"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newBesides(t, paused(test.kind, test.begin, test.rest, pause))
			got := w.ask(2 * pause)
			if got.Code != http.StatusOK || got.Body.String() != test.begin+test.rest {
				body := got.Body.Bytes()
				t.Errorf("status %d, %d bytes, the last %q", got.Code, len(body), body[max(0, len(body)-200):])
			}
		})
	}
}
