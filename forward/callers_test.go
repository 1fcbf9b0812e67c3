package forward

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// TestRequestReadBeforeTheCloseIsServed proves that a connection whose closing was begun while the head of a request was read
// goes on with it, and that none is closed on which a request is in progress.
func TestRequestReadBeforeTheCloseIsServed(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		states []http.ConnState
		closes bool
	}{
		"rests":                   {[]http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, true},
		"a request is on it":      {[]http.ConnState{http.StateNew, http.StateActive}, false},
		"a request is on its way": {[]http.ConnState{http.StateNew}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ours, theirs := net.Pipe()
			t.Cleanup(func() { _ = theirs.Close() })
			go func() { _, _ = theirs.Write([]byte("ab")) }()
			var conns callerConns
			for _, state := range test.states {
				conns.note(ours, state)
			}
			if conns.closeResting(time.Now()) {
				t.Error("no connection is left")
			}
			if _, err := ours.Read(make([]byte, 1)); (err != nil) != test.closes {
				t.Errorf("reading: %v, want closed %v", err, test.closes)
			}
			conns.note(ours, http.StateActive)
			if _, err := ours.Read(make([]byte, 1)); err != nil {
				t.Errorf("the request that was read is not served: %v", err)
			}
			conns.note(ours, http.StateClosed)
			if !conns.closeResting(time.Now()) {
				t.Error("a closed connection is kept")
			}
		})
	}
}
