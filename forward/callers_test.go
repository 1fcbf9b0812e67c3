package forward

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// TestRequestReadBeforeCloseIsServed checks that a request whose header was read while its connection began to close
// is served, and that no connection with a request in progress is closed.
func TestRequestReadBeforeCloseIsServed(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		states []http.ConnState
		closes bool
	}{
		"idle":                {[]http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, true},
		"request in progress": {[]http.ConnState{http.StateNew, http.StateActive}, false},
		"new connection":      {[]http.ConnState{http.StateNew}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ours, theirs := net.Pipe()
			t.Cleanup(func() { _ = theirs.Close() })
			go func() { _, _ = theirs.Write([]byte("ab")) }()
			var conns callerConns
			for _, state := range test.states {
				conns.setState(ours, state)
			}
			if conns.closeIdle(time.Now()) {
				t.Error("closeIdle reports that no connection is left")
			}
			if _, err := ours.Read(make([]byte, 1)); (err != nil) != test.closes {
				t.Errorf("reading: %v, want closed %v", err, test.closes)
			}
			conns.setState(ours, http.StateActive)
			if _, err := ours.Read(make([]byte, 1)); err != nil {
				t.Errorf("the request whose header was read is not served: %v", err)
			}
			conns.setState(ours, http.StateClosed)
			if !conns.closeIdle(time.Now()) {
				t.Error("a closed connection is kept")
			}
		})
	}
}
