package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/coralstair/coralstair/link"
)

// What callers would see: answers break off when a box's daemon is replaced by one at another address, though the old one
// finishes what it has. The order of events: the list names the new daemon; the entry closes its link to the old one to open
// one to the new, and with the link all answers in progress there. The cause: a link was given up for the sake of a new one
// while it still carried answers.

// TestReplacedBoxFinishes proves that answers in progress at a daemon that the list names no longer arrive whole, and that new
// requests go to the daemon that it names.
func TestReplacedBoxFinishes(t *testing.T) {
	for name, kind := range map[string]string{"a stream": "text/event-stream", "a whole answer": "text/plain"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begun, finish := make(chan struct{}), make(chan struct{})
			w := newBoxWorld(t, func(b *fakeBox, n int, id uint64) {
				if n > 1 {
					refuse(b, n, id)
					return
				}
				b.head(id, kind)
				b.data(id, "data: 1\n\n")
				close(begun)
				<-finish
				b.data(id, "data: 2\n\n")
				b.end(id, link.OutcomeRan)
			})
			answered := make(chan *httptest.ResponseRecorder, 1)
			go func() { answered <- w.ask(fakeWait) }()
			<-begun
			next := newFakeBox(t, "a", "2", good)
			w.list.set(next.member)
			w.await(func() bool { return w.ask(time.Second).Code == http.StatusOK && next.asked() > 0 })
			close(finish)
			if got := <-answered; got.Code != http.StatusOK || got.Body.String() != "data: 1\n\ndata: 2\n\n" {
				t.Errorf("status %d, body %q", got.Code, got.Body)
			}
			w.await(w.boxes[0].ended)
		})
	}
}
