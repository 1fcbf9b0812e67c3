package forward

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/link"
)

// TestWaitingRequestsFollowTheirVersionsBound guards against requests that begin on a version past its bound, which became known or was
// corrected only while they waited at the server.
func TestWaitingRequestsFollowTheirVersionsBound(t *testing.T) {
	const waits = 1500 * time.Millisecond
	for name, test := range map[string]struct {
		path string
		// known is the time to the deadline that is known when the request is sent, 0 for none; learnt the one learnt 200 ms later.
		known, learnt time.Duration
		withdrawn     bool
	}{
		"named while it waits":                       {"/stream/long/a", 0, 800 * time.Millisecond, true},
		"named long before, heard while it waits":    {"/stream/long/a", 0, -time.Second, true},
		"known to be named earlier while it waits":   {"/stream/long/a", 3 * time.Second, 800 * time.Millisecond, true},
		"the deadline does not come while it waits":  {"/stream/long/a", 0, 4 * time.Second, false},
		"a stream that runs once, named when sent":   {"/stream/once/a", dispatchMargin + 200*time.Millisecond, 0, true},
		"a stream that runs once, named as it waits": {"/stream/once/a", 0, 800 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var began, withdrawn atomic.Pointer[time.Time]
			server := newFakeServer(t, func(conn net.Conn, n int, r *http.Request) bool {
				_ = conn.SetReadDeadline(time.Now().Add(waits))
				_, err := conn.Read(make([]byte, 1))
				now := time.Now()
				if err != nil && !isTimeout(err) {
					withdrawn.CompareAndSwap(nil, &now)
					return false
				}
				began.CompareAndSwap(nil, &now)
				return streamEvents("a", 6, writeLastChunk)(conn, n, r)
			})
			w := newModelTestEnv(t, server.address)
			w.applyReport(0, link.Report{HasAllPieces: true})
			go func() { _ = w.entry.followVersions(t.Context()) }()
			name := func(left time.Duration) time.Time {
				w.entry.cfg.View.ObservePeerTarget(contract.Target{Model: testModel, Version: 2}, -left)
				return time.Now().Add(left)
			}
			var deadline atomic.Pointer[time.Time]
			set := func(at time.Time) { deadline.Store(&at) }
			if test.known != 0 {
				set(name(test.known))
			}
			if test.learnt != 0 {
				time.AfterFunc(200*time.Millisecond, func() { set(name(test.learnt)) })
			}
			w.ask(http.MethodPost, test.path, "x", nil)
			time.Sleep(20 * time.Millisecond)
			if at := withdrawn.Load(); (at != nil) != test.withdrawn {
				t.Errorf("withdrawn at %v, began at %v, the deadline is %v", at, began.Load(), deadline.Load())
			}
			if at := withdrawn.Load(); at != nil && test.learnt >= 0 && at.After(*deadline.Load()) {
				t.Errorf("withdrawn %s after the deadline", at.Sub(*deadline.Load()))
			}
			if at := began.Load(); at != nil && at.After(*deadline.Load()) {
				t.Errorf("began %s after the deadline", at.Sub(*deadline.Load()))
			}
		})
	}
}
