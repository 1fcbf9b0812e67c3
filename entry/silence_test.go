package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/coralstair/coralstair/link"
)

// respondWithPause starts a response, and completes it after a pause without heartbeats.
func respondWithPause(kind, start, rest string, pause time.Duration) responder {
	return func(b *fakeBox, _ int, id uint64) {
		b.head(id, kind)
		b.data(id, start)
		time.Sleep(pause)
		b.data(id, rest)
		b.end(id, link.OutcomeRan)
	}
}

// respondAfter sends a complete response after a pause without heartbeats.
func respondAfter(pause time.Duration) responder {
	return func(b *fakeBox, n int, id uint64) {
		time.Sleep(pause)
		respondOK(b, n, id)
	}
}

// newSilentEnv returns an entry with a box that sends no heartbeats after its first, and one that opens a little later.
func newSilentEnv(t *testing.T, silent responder) *testEnv {
	t.Helper()
	env := newTestEnv(t, silent, respondOK)
	env.boxes[1].sendHeartbeat(false, false)
	env.waitFor(func() bool { return env.accepting() == 1 })
	time.AfterFunc(suspectAfter-time.Second, func() { env.boxes[1].sendHeartbeat(true, false) })
	return env
}

// TestSilentBoxKeepsRequestsWithoutAlternative checks that a request stays at a box without heartbeats while no other box serves it.
func TestSilentBoxKeepsRequestsWithoutAlternative(t *testing.T) {
	t.Parallel()
	const pause = suspectAfter + time.Second
	env := newTestEnv(t, respondAfter(pause))
	if got := env.request(2 * pause); got.Code != http.StatusOK || got.Body.String() != "hello" {
		t.Errorf("status %d, body %q", got.Code, got.Body)
	}
}

// TestSilentBoxRequestsMoveToAnother checks that a request moves to another box when its box stops sending heartbeats.
func TestSilentBoxRequestsMoveToAnother(t *testing.T) {
	t.Parallel()
	env := newSilentEnv(t, respondAfter(time.Hour))
	if got := env.request(2 * suspectAfter); got.Code != http.StatusOK || got.Body.String() != "hello" {
		t.Errorf("status %d, body %q", got.Code, got.Body)
	}
}

// TestSilentBoxKeepsUnresumableResponses guards against cancelling a started response that no other box can resume.
func TestSilentBoxKeepsUnresumableResponses(t *testing.T) {
	const pause = suspectAfter + time.Second
	long := string(make([]byte, maxBuffered))
	for name, test := range map[string]struct{ kind, start, rest string }{
		"a stream that engines cannot resume":   {"text/event-stream", "data: 1\n\n", "data: 2\n\n"},
		"a response that is too long to buffer": {"text/plain", long, "rest"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newSilentEnv(t, respondWithPause(test.kind, test.start, test.rest, pause))
			got := env.request(2 * pause)
			if got.Code != http.StatusOK || got.Body.String() != test.start+test.rest {
				body := got.Body.Bytes()
				t.Errorf("status %d, %d bytes, the last %q", got.Code, len(body), body[max(0, len(body)-200):])
			}
		})
	}
}
