package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
)

// truncated sends an incomplete body and resets the connection.
func truncated(conn net.Conn, _ int, _ *http.Request) bool {
	writeRaw(conn, "HTTP/1.1 200 OK\nId: r1\nSeal: s\nContent-Length: 50\n\nhel")
	return reset(conn)
}

// responseTest is a request, the response of the first server to receive it, and the expected result.
type responseTest struct {
	path     string
	method   string
	first    responder
	status   int
	body     string
	arrivals int
}

var responseTests = map[string]responseTest{
	"complete":                {"/once/a", "POST", respondOK, 200, "hello", 1},
	"server error, once":      {"/once/a", "POST", respondWith("HTTP/1.1 500 No\nId: r1\nSeal: s\nContent-Length: 2\n\nno"), 500, "no", 1},
	"server error, safe":      {"/safe/a", "GET", respondWith("HTTP/1.1 500 No\nId: r1\nSeal: s\nContent-Length: 2\n\nno"), 200, "hello", 2},
	"no seal, once":           {"/once/a", "POST", respondWith("HTTP/1.1 200 OK\nId: r1\nContent-Length: 5\n\nhello"), 502, "", 1},
	"no seal, safe":           {"/safe/a", "GET", respondWith("HTTP/1.1 200 OK\nId: r1\nContent-Length: 5\n\nhello"), 200, "hello", 2},
	"wrong request ID, once":  {"/once/a", "POST", respondWith("HTTP/1.1 200 OK\nId: r9\nSeal: s\nContent-Length: 5\n\nother"), 502, "", 1},
	"wrong request ID, safe":  {"/safe/a", "GET", respondWith("HTTP/1.1 200 OK\nId: r9\nSeal: s\nContent-Length: 5\n\nother"), 200, "hello", 2},
	"truncated, once":         {"/once/a", "POST", truncated, 502, "", 1},
	"truncated, safe":         {"/safe/a", "GET", truncated, 200, "hello", 2},
	"not HTTP":                {"/once/a", "POST", respondWith("garbage\n\n"), 502, "", 1},
	"content encoding":        {"/once/a", "POST", respondWith("HTTP/1.1 200 OK\nId: r1\nSeal: s\nContent-Encoding: gzip\nContent-Length: 5\n\nhello"), 502, "", 1},
	"not run, once":           {"/once/a", "POST", respondWith("HTTP/1.1 503 Full\nNot-Run: 1\nContent-Length: 0\n\n"), 200, "hello", 2},
	"misdirected, once":       {"/once/a", "POST", respondWith("HTTP/1.1 421 No\nContent-Length: 0\n\n"), 200, "hello", 2},
	"connection closed, once": {"/once/two/a", "POST", func(net.Conn, int, *http.Request) bool { return false }, 502, "", 1},
	"connection closed, safe": {"/safe/a", "GET", func(net.Conn, int, *http.Request) bool { return false }, 200, "hello", 2},
	"no length, connection closed": {"/once/a", "POST", func(conn net.Conn, _ int, _ *http.Request) bool {
		writeRaw(conn, "HTTP/1.1 200 OK\nId: r1\nSeal: s\n\nhello")
		return false
	}, 200, "hello", 1},
	"no length, connection reset": {"/once/a", "POST", func(conn net.Conn, _ int, _ *http.Request) bool {
		writeRaw(conn, "HTTP/1.1 200 OK\nId: r1\nSeal: s\n\nhel")
		time.Sleep(50 * time.Millisecond)
		return reset(conn)
	}, 502, "", 1},
	"no response within the route's time limit": {"/short/a", "POST", func(net.Conn, int, *http.Request) bool { time.Sleep(time.Second); return false }, 504, "", 1},
	"no response, safe":                         {"/safe/a", "GET", func(net.Conn, int, *http.Request) bool { time.Sleep(5 * time.Second); return false }, 200, "hello", 2},
	"429 not run":                               {"/safe/a", "GET", respondWith("HTTP/1.1 429 No\nNot-Run: 1\nContent-Length: 0\n\n"), 200, "hello", 2},
}

// TestAnswers checks what callers get for each kind of response of the first server, and how many servers receive the request.
func TestAnswers(t *testing.T) {
	for name, test := range responseTests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer := firstThen(test.first, respondOK)
			a, b := newFakeServer(t, answer), newFakeServer(t, answer)
			w := newTestEnv(t, false, a.address, b.address)
			got := w.ask(test.method, test.path, "", nil)
			if got.err != nil || got.status != test.status || test.body != "" && got.body != test.body {
				t.Errorf("answer %d %q %v, want %d %q", got.status, got.body, got.err, test.status, test.body)
			}
			if n := a.arrivals() + b.arrivals(); n != test.arrivals {
				t.Errorf("request was sent %d times, want %d", n, test.arrivals)
			}
		})
	}
}

func TestRequestArrivesUnchanged(t *testing.T) {
	a := newFakeServer(t, respondOK)
	w := newTestEnv(t, true, a.address)
	got := w.ask("POST", "/once/%2Fa%20b/?q=1&q=%31", "the body", map[string]string{
		"Key": "good", "Own": "kept", "Connection": "Hop", "Hop": "dropped", "Team": "forged",
	})
	if got.status != http.StatusOK || got.header.Get("Seal") != "s" {
		t.Fatalf("answer %d, seal %q", got.status, got.header.Get("Seal"))
	}
	r := a.requests[0]
	if r.RequestURI != "/once/%2Fa%20b/?q=1&q=%31" || r.Host != "h" || a.bodies[0] != "the body" {
		t.Errorf("server received %s at %s with body %q", r.RequestURI, r.Host, a.bodies[0])
	}
	for header, want := range map[string]string{"Own": "kept", "Hop": "", "Key": "", "Team": "team", "Expect": "server0", "Id": "r1"} {
		if got := r.Header.Get(header); got != want {
			t.Errorf("%s is %q at the server, want %q", header, got, want)
		}
	}
}

func TestDenials(t *testing.T) {
	for name, test := range map[string]struct {
		path, key string
		body      string
		header    map[string]string
		status    int
	}{
		"no route":                 {path: "/nowhere/", key: "good", status: 404},
		"unknown key":              {path: "/safe/a", key: "bad", status: 401},
		"no key":                   {path: "/safe/a", status: 401},
		"no key on a public route": {path: "/open/a", status: 200},
		"known key":                {path: "/safe/a", key: "good", status: 200},
		"long body":                {path: "/safe/a", key: "good", body: strings.Repeat("x", 2<<20), status: 413},
		"long header":              {path: "/safe/a", key: "good", header: map[string]string{"Long": strings.Repeat("x", 8<<10)}, status: 431},
	} {
		t.Run(name, func(t *testing.T) {
			a := newFakeServer(t, respondOK)
			w := newTestEnv(t, true, a.address)
			header := map[string]string{"Key": test.key}
			for name, value := range test.header {
				header[name] = value
			}
			got := w.ask("POST", test.path, test.body, header)
			if got.status != test.status {
				t.Errorf("answer %d %v, want %d", got.status, got.err, test.status)
			}
			if test.status != 200 && a.arrivals() > 0 {
				t.Error("a denied request reached a server")
			}
		})
	}
}

func TestWithoutConfigurationNothingIsDenied(t *testing.T) {
	w := newTestEnvFrom(t, fixedSource{servers: discovery.Servers{}})
	got := w.ask("GET", "/safe/a", "", nil)
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("answer %d, Retry-After %q, want 503 with Retry-After", got.status, got.header.Get("Retry-After"))
	}
}

func TestWithoutServersNotRun(t *testing.T) {
	w := newTestEnv(t, false)
	got := w.ask("POST", "/once/a", "", nil)
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || !strings.Contains(got.body, "not-run") {
		t.Errorf("answer %d %q, want outcome not-run with Retry-After", got.status, got.body)
	}
}

// TestKeptConnectionIsNotResent checks that net/http does not resend a request by itself when a keep-alive connection closes.
func TestKeptConnectionIsNotResent(t *testing.T) {
	for name, method := range map[string]string{"GET": "GET", "POST without a body": "POST", "DELETE": "DELETE"} {
		t.Run(name, func(t *testing.T) {
			a := newFakeServer(t, func(conn net.Conn, n int, r *http.Request) bool { return n == 1 && respondOK(conn, n, r) })
			w := newTestEnv(t, false, a.address)
			if got := w.ask(method, "/once/a", "", nil); got.status != 200 {
				t.Fatalf("first answer %d %v", got.status, got.err)
			}
			got := w.ask(method, "/once/a", "", nil)
			if got.status != http.StatusBadGateway || a.arrivals() != 2 {
				t.Errorf("answer %d after %d arrivals, want 502 after 2", got.status, a.arrivals())
			}
		})
	}
}

// TestSurplusAnswerIsNobodys guards against a surplus answer that reaches the caller of the next request on its connection. That request
// may read it as its own, which its id refutes, and then ends with an honest 502.
func TestSurplusAnswerIsNobodys(t *testing.T) {
	answer := func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\nId: %s\nSeal: s\nContent-Length: %d\n\n%s", id, len(body), body)
	}
	a := newFakeServer(t, func(conn net.Conn, n int, r *http.Request) bool {
		id := r.Header.Get("Id")
		if n == 1 {
			return writeRaw(conn, answer(id, "answer to "+id)+answer(id, "stale"))
		}
		return writeRaw(conn, answer(id, "answer to "+id))
	})
	w := newTestEnv(t, false, a.address)
	refuted := 0
	for i := range 3 {
		id := fmt.Sprintf("r%d", i+1)
		got := w.ask("POST", "/once/a", "", map[string]string{"Id": id})
		switch {
		case got.status == http.StatusOK && got.body == "answer to "+id:
		case got.status == http.StatusBadGateway && i > 0 && refuted == 0:
			refuted++
		default:
			t.Errorf("answer %d is %d %q", i, got.status, got.body)
		}
	}
}

func TestCallerGoneEndsTheSend(t *testing.T) {
	gone := make(chan struct{})
	a := newFakeServer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(gone)
		return false
	})
	w := newTestEnv(t, false, a.address)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", w.url+"/once/a", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	_, _ = (&http.Transport{}).RoundTrip(req)
	select {
	case <-gone:
	case <-time.After(time.Second):
		t.Error("request was not cancelled after its caller left")
	}
}

func TestCallerGoneSaysNothingOfTheServer(t *testing.T) {
	a := newFakeServer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
		_, _ = conn.Read(make([]byte, 1))
		return false
	})
	w := newTestEnv(t, false, a.address)
	for range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		req, err := http.NewRequestWithContext(ctx, "POST", w.url+"/once/a", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "h"
		_, _ = (&http.Transport{}).RoundTrip(req)
		cancel()
	}
	time.Sleep(50 * time.Millisecond)
	up := w.entry.upstreams.preferred("s")[0]
	up.mu.Lock()
	defer up.mu.Unlock()
	if up.failures != 0 || !up.ejectedUntil.IsZero() {
		t.Errorf("%d failures recorded for a healthy server whose callers left", up.failures)
	}
}

func TestLeaving(t *testing.T) {
	a := newFakeServer(t, func(conn net.Conn, n int, r *http.Request) bool {
		time.Sleep(300 * time.Millisecond)
		return respondOK(conn, n, r)
	})
	w := newTestEnv(t, false, a.address)
	answered := make(chan result, 1)
	go func() { answered <- w.ask("POST", "/once/a", "", nil) }()
	time.Sleep(50 * time.Millisecond)
	w.entry.leaving.Store(true)
	got := <-answered
	if got.status != 200 || !got.closes {
		t.Errorf("answer %d, closes %t, want a complete answer on a connection that closes", got.status, got.closes)
	}
	recorder := &statusRecorder{}
	w.entry.serveReady(recorder, nil)
	if recorder.status != http.StatusServiceUnavailable {
		t.Errorf("readiness check of a leaving entry returned %d", recorder.status)
	}
}

type statusRecorder struct{ status int }

func (*statusRecorder) Header() http.Header         { return http.Header{} }
func (*statusRecorder) Write(b []byte) (int, error) { return len(b), nil }
func (r *statusRecorder) WriteHeader(status int)    { r.status = status }

func TestRoutesBySplit(t *testing.T) {
	route := contract.Route{Split: []contract.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for fraction, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.999: "b"} {
		if got := route.Service(fraction); got != want {
			t.Errorf("fraction %v leads to %s, want %s", fraction, got, want)
		}
	}
}
