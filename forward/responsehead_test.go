package forward

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/coralstair/coralstair/lab/rawhttp"
)

// respondRaw writes a response as it is.
func respondRaw(response string) responder {
	return func(conn net.Conn, _ int, _ *http.Request) bool {
		_, err := io.WriteString(conn, response)
		return err == nil
	}
}

// TestInvalidHeadsAreNotBelieved guards against responses that net/http accepts although their heads are invalid: none is passed on, and
// none counts as "not run", whatever it says.
func TestInvalidHeadsAreNotBelieved(t *testing.T) {
	for kind, test := range map[string]struct {
		path, status string
		fields       []string
	}{
		"repeatable":           {path: "/safe/a"},
		"once":                 {path: "/once/two/a"},
		"once, not run":        {path: "/once/two/a", fields: []string{"Not-Run: 1"}},
		"once, refused":        {path: "/once/two/a", fields: []string{"Not-Run: 1"}, status: "503"},
		"stream once":          {path: "/stream/once/a", fields: []string{"Content-Type: text/event-stream"}},
		"stream once, not run": {path: "/stream/once/a", fields: []string{"Content-Type: text/event-stream", "Not-Run: 1"}},
	} {
		for name, response := range rawhttp.InvalidHeads(append(test.fields, "Id: r1", "Seal: s")...) {
			if test.status != "" {
				response = strings.Replace(response, " 200 ", " "+test.status+" ", 1)
			}
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				servers := []*fakeServer{newFakeServer(t, respondRaw(response)), newFakeServer(t, respondRaw(response))}
				got := newTestEnv(t, false, servers[0].address, servers[1].address).ask(http.MethodPost, test.path, "x", nil)
				if got.err != nil || got.status != http.StatusBadGateway {
					t.Errorf("status %d, header %q, body %q, error %v, want 502", got.status, got.header, got.body, got.err)
				}
				if n := servers[0].arrivals() + servers[1].arrivals(); strings.Contains(kind, "once") && n != 1 {
					t.Errorf("the request arrived %d times, want once", n)
				}
			})
		}
	}
}

// TestValidHeadsAreAccepted guards against the rejection of unusual heads that RFC 9110 and RFC 9112 allow.
func TestValidHeadsAreAccepted(t *testing.T) {
	for name, test := range rawhttp.ValidHeads("Id: r1", "Seal: s") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newFakeServer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
				respondRaw(test.Response)(conn, 0, nil)
				return false
			})
			got := newTestEnv(t, false, server.address).ask(http.MethodPost, "/once/a", "x", nil)
			if got.err != nil || got.status != test.Status || got.body != test.Body {
				t.Errorf("status %d, body %q, error %v", got.status, got.body, got.err)
			}
		})
	}
}
