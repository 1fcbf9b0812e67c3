package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/coralstair/coralstair/link"
)

// TestReplacedDaemonFinishesRequests guards against interrupted responses when a box's daemon is replaced at another address: the old
// link must stay open until they are complete, while new requests go to the new daemon.
func TestReplacedDaemonFinishesRequests(t *testing.T) {
	for name, kind := range map[string]string{"a stream": "text/event-stream", "a plain response": "text/plain"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			started, finish := make(chan struct{}), make(chan struct{})
			env := newTestEnv(t, func(b *fakeBox, n int, id uint64) {
				if n > 1 {
					refuse(b, n, id)
					return
				}
				b.head(id, kind)
				b.data(id, "data: 1\n\n")
				close(started)
				<-finish
				b.data(id, "data: 2\n\n")
				b.end(id, link.OutcomeRan)
			})
			responses := make(chan *httptest.ResponseRecorder, 1)
			go func() { responses <- env.request(testTimeout) }()
			<-started
			next := newFakeBox(t, "a", "2", respondOK)
			env.list.set(next.member)
			env.waitFor(func() bool { return env.request(time.Second).Code == http.StatusOK && next.requestCount() > 0 })
			close(finish)
			if got := <-responses; got.Code != http.StatusOK || got.Body.String() != "data: 1\n\ndata: 2\n\n" {
				t.Errorf("status %d, body %q", got.Code, got.Body)
			}
			env.waitFor(env.boxes[0].linkEnded)
		})
	}
}
