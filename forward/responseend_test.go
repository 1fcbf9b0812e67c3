package forward

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/coralstair/coralstair/contract"
)

const testHealthPath = "/health"

// newHealthEnv returns an entry for servers that are named by a health check at testHealthPath.
func newHealthEnv(t *testing.T, address string) *testEnv {
	t.Helper()
	routes := make([]contract.Route, len(testRoutes))
	for i, route := range testRoutes {
		route.Split = []contract.Share{{Service: "s", Weight: 1}}
		routes[i] = route
	}
	service := contract.Service{Name: "s", MaxConns: 100, HealthPath: testHealthPath}
	limits := contract.Limits{HeaderBytes: 4096, BodyBytes: 1 << 20}
	return newTestEnvFrom(t, testSource(contract.NewConfig(1, limits, routes, []contract.Service{service}, nil), address))
}

// TestResponsesEndWithTheServerThatSentThem guards against passing on as complete what a server that exits has written of a response
// without a length, where another server listens at its address by the time the end is read.
func TestResponsesEndWithTheServerThatSentThem(t *testing.T) {
	own := "HTTP/1.1 200 OK\nServer-Id: " + serverName(0) + "\nContent-Length: 0\n\n"
	for name, test := range map[string]struct {
		// health answers the n-th health check; exits ends the server.
		health func(conn net.Conn, n int32) bool
		exits  bool
		whole  bool
	}{
		"the server lives": {health: func(conn net.Conn, _ int32) bool { return writeRaw(conn, own) }, whole: true},
		"the server lives, but is not healthy": {health: func(conn net.Conn, _ int32) bool {
			return writeRaw(conn, strings.Replace(own, "200 OK", "503 Full", 1))
		}, whole: true},
		"the server lives, one check is lost": {health: func(conn net.Conn, n int32) bool { return n > 1 && writeRaw(conn, own) }, whole: true},
		"the server exits":                    {exits: true},
		"another server is at the address": {health: func(conn net.Conn, _ int32) bool {
			return writeRaw(conn, strings.Replace(own, serverName(0), "next", 1))
		}},
		"another server refuses the check":   {health: func(conn net.Conn, _ int32) bool { return writeRaw(conn, "HTTP/1.1 421 Other\nContent-Length: 0\n\n") }},
		"no check is answered":               {health: func(net.Conn, int32) bool { return false }},
		"checks are answered without a name": {health: func(conn net.Conn, _ int32) bool { return writeRaw(conn, "HTTP/1.1 200 OK\nContent-Length: 0\n\n") }},
		"the address hangs":                  {health: func(conn net.Conn, _ int32) bool { _, _ = conn.Read(make([]byte, 1)); return false }},
		"a proxy is left at the server's place": {health: func(conn net.Conn, _ int32) bool {
			return writeRaw(conn, "HTTP/1.1 502 Bad Gateway\nContent-Length: 0\n\n")
		}},
	} {
		for kind, path := range map[string]string{"body": "/once/", "stream": "/stream/once/", "resumable stream": "/stream/"} {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				var checks atomic.Int32
				var server *fakeServer
				server = newFakeServer(t, func(conn net.Conn, _ int, r *http.Request) bool {
					if r.URL.Path == testHealthPath {
						return test.health(conn, checks.Add(1))
					}
					head := "HTTP/1.1 200 OK\nId: r1\nSeal: s\n"
					if kind != "body" {
						head += "Content-Type: text/event-stream\n"
					}
					writeRaw(conn, head+"\nid: 1\ndata: x\n\n")
					if test.exits {
						server.end()
					}
					return false
				})
				got := newHealthEnv(t, server.address).ask(http.MethodPost, path, "x", nil)
				if whole := got.err == nil && got.status == http.StatusOK; whole != test.whole {
					t.Errorf("status %d, body %q, error %v", got.status, got.body, got.err)
				}
			})
		}
	}
}

// TestFramedResponsesNeedNoCheck guards against a health check for each response: only one without a length or chunks needs it.
func TestFramedResponsesNeedNoCheck(t *testing.T) {
	for name, response := range map[string]string{
		"length": okResponse,
		"chunks": "HTTP/1.1 200 OK\nId: r1\nSeal: s\nTransfer-Encoding: chunked\n\n5\nhello\n0\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			var checks atomic.Int32
			server := newFakeServer(t, func(conn net.Conn, _ int, r *http.Request) bool {
				if r.URL.Path == testHealthPath {
					checks.Add(1)
				}
				return writeRaw(conn, response)
			})
			got := newHealthEnv(t, server.address).ask(http.MethodPost, "/once/", "x", nil)
			if got.status != http.StatusOK || got.body != "hello" || checks.Load() != 0 {
				t.Errorf("status %d, body %q, %d checks", got.status, got.body, checks.Load())
			}
		})
	}
}
