package forward

import (
	"cmp"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/coralstair/coralstair/connlimit"
	"github.com/coralstair/coralstair/quarantine"
)

// promises reports whether a status promises that the request has not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// TestRefusedRequestsNeverRun checks each way in which a request that must not be repeated ends: a status that promises that it has not
// run is sent only if no server has run it, nor will.
func TestRefusedRequestsNeverRun(t *testing.T) {
	notRun := refuseWithHeader("X: 1")
	for name, test := range map[string]struct {
		// ran says that the server runs the request before it answers.
		answer responder
		ran    bool
		header map[string]string
		spoil  func(w *testEnv)
		limits connlimit.Limits
		path   string
		body   string
		want   int
	}{
		"no configuration in doubt, unknown route": {answer: respondOK, path: "/none/", want: http.StatusNotFound},
		"server refuses without running it":        {answer: notRun, want: http.StatusServiceUnavailable},
		"server is another one":                    {answer: respondWith("HTTP/1.1 421 Misdirected Request\nId: r1\nContent-Length: 0\n\n"), want: http.StatusServiceUnavailable},
		"server asks for a pause":                  {answer: refuseWithHeader("Rest: 1s"), want: http.StatusServiceUnavailable},
		"server runs it and closes":                {answer: func(net.Conn, int, *http.Request) bool { return false }, ran: true, want: http.StatusBadGateway},
		"server runs it and resets":                {answer: func(conn net.Conn, _ int, _ *http.Request) bool { return reset(conn) }, ran: true, want: http.StatusBadGateway},
		"server runs it and truncates the answer": {answer: func(conn net.Conn, _ int, _ *http.Request) bool {
			writeRaw(conn, "HTTP/1.1 200 OK\nId: r1\nSeal: s\nContent-Length: 5\n\nhe")
			return false
		}, ran: true, want: http.StatusBadGateway},
		"server answers another request": {answer: respondWith("HTTP/1.1 200 OK\nId: r2\nSeal: s\nContent-Length: 5\n\nhello"), ran: true, want: http.StatusBadGateway},
		"server answers without a seal":  {answer: respondWith("HTTP/1.1 200 OK\nId: r1\nContent-Length: 5\n\nhello"), ran: true, want: http.StatusBadGateway},
		"server runs it beyond the time": {answer: func(conn net.Conn, _ int, _ *http.Request) bool {
			time.Sleep(400 * time.Millisecond)
			return writeRaw(conn, okResponse)
		}, ran: true, path: "/short/", want: http.StatusGatewayTimeout},
		"server fails it": {answer: respondWith("HTTP/1.1 500 Internal Server Error\nId: r1\nSeal: s\nContent-Length: 0\n\n"), ran: true, want: http.StatusInternalServerError},
		"no server left":  {answer: respondOK, spoil: func(w *testEnv) { w.entry.upstreams.update(nil) }, want: http.StatusServiceUnavailable},
		"server leaves":   {answer: respondOK, spoil: func(w *testEnv) { w.server(0).announcedLeave = true }, want: http.StatusServiceUnavailable},
		"server is cold and others use up its rate": {answer: respondOK, spoil: func(w *testEnv) {
			up := w.server(0)
			up.coldRate, up.coldUntil, up.weight = 0.01, time.Now().Add(time.Hour), 0
		}, want: http.StatusServiceUnavailable},
		"quarantined": {answer: respondOK, spoil: func(w *testEnv) {
			request := quarantine.FingerprintOf("", http.MethodPost, "h", "/once/", []byte("x"))
			for _, server := range []string{"a", "b", "c"} {
				w.entry.cfg.Quarantine.RecordExit(server, []quarantine.Fingerprint{request})
			}
		}, want: http.StatusServiceUnavailable},
		"entry leaves soon": {answer: respondOK, spoil: func(w *testEnv) {
			soon := time.Now().Add(100 * time.Millisecond)
			w.entry.closesIdleAt.Store(&soon)
		}, want: http.StatusServiceUnavailable},
		"entry holds too much": {answer: respondOK, limits: connlimit.Limits{RequestBytes: 1}, body: strings.Repeat("x", 20<<10), want: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newFakeServer(t, test.answer)
			w := newLimitedTestEnv(t, newTestSource(false, server.address), test.limits)
			if test.spoil != nil {
				test.spoil(w)
			}
			got := w.ask(http.MethodPost, cmp.Or(test.path, "/once/"), cmp.Or(test.body, "x"), test.header)
			time.Sleep(150 * time.Millisecond)
			ran := test.ran && server.arrivals() > 0
			if got.status != test.want {
				t.Errorf("status %d, want %d", got.status, test.want)
			}
			if promises(got.status) && ran || server.arrivals() > 1 {
				t.Errorf("status %d though the request ran: %t; it arrived %d times", got.status, ran, server.arrivals())
			}
		})
	}
}
