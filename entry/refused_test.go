package entry

import (
	"net/http"
	"testing"
	"time"
)

// refuseFirst refuses the first requests and closes for a time after each, as a box does that loads a new version.
func refuseFirst(refusals int, closed time.Duration) responder {
	return func(b *fakeBox, n int, id uint64) {
		if n > refusals {
			respondOK(b, n, id)
			return
		}
		refuse(b, n, id)
		b.sendHeartbeat(false, false)
		time.AfterFunc(closed, func() { b.sendHeartbeat(true, false) })
	}
}

// TestRefusedRequestIsRetried guards against a request that waits until its deadline, or fails at once, after all boxes refused it and
// reopened.
func TestRefusedRequestIsRetried(t *testing.T) {
	const closed = 20 * time.Millisecond
	leave := func(b *fakeBox, n int, id uint64) {
		refuse(b, n, id)
		b.sendHeartbeat(true, true)
	}
	for name, responders := range map[string][]responder{
		"the only box closes for a moment":           {refuseFirst(1, closed)},
		"the only box closes repeatedly":             {refuseFirst(2*maxAttempts, closed)},
		"both boxes close at the same moment":        {refuseFirst(1, closed), refuseFirst(1, closed)},
		"one box leaves while the other one closes":  {leave, refuseFirst(1, closed)},
		"one box accepts it after the other refuses": {refuseFirst(1, time.Hour), respondOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, responders...)
			began := time.Now()
			got := env.request(3 * time.Second)
			if got.Code != http.StatusOK || got.Body.String() != "hello" {
				t.Errorf("status %d, body %q after %s", got.Code, got.Body, time.Since(began))
			}
		})
	}
}

// TestRefusingBoxIsNotRetriedWithoutUpdate checks that a box that refused gets no requests until it sends an update.
func TestRefusingBoxIsNotRetriedWithoutUpdate(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, refuse, refuse)
	got := env.request(300 * time.Millisecond)
	if got.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d, body %q", got.Code, got.Body)
	}
	for i, b := range env.boxes {
		if n := b.requestCount(); n != 1 {
			t.Errorf("box %d got %d requests, want 1", i, n)
		}
	}
}
