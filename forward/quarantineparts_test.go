package forward

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// crashingPart is the part of a prompt on which crashing servers exit as they begin to respond.
	crashingPart = "bad"
	// maxPartCrashes is how many servers may exit until the part must be known.
	maxPartCrashes = 5
	// serverRestartTime is less than a server is ejected after its exit.
	serverRestartTime = minEjection / 2
)

// partServers are fake servers that write crash and exit once they respond to a request with the crashing part; they answer others with ok.
type partServers struct {
	addresses []string
	exits     atomic.Int64
}

func newPartServers(t *testing.T, n int, crash, ok string) *partServers {
	t.Helper()
	m := &partServers{}
	for range n {
		var server *fakeServer
		var answer responder
		answer = func(conn net.Conn, _ int, r *http.Request) bool {
			id := r.Header.Get("Id")
			if !slices.Contains(strings.Fields(r.Header.Get("Parts")), crashingPart) {
				return writeRaw(conn, strings.ReplaceAll(ok, "r1", id))
			}
			writeRaw(conn, strings.ReplaceAll(crash, "r1", id))
			m.exits.Add(1)
			server.end()
			time.AfterFunc(serverRestartTime, func() { server.restart(answer) })
			return false
		}
		server = newFakeServer(t, answer)
		m.addresses = append(m.addresses, server.address)
	}
	return m
}

// TestServersEndUnderAPartOfAPrompt guards against requests that share one part of their prompts, on which servers exit, going to server
// after server: no two of them are alike.
func TestServersEndUnderAPartOfAPrompt(t *testing.T) {
	const streamOK = "HTTP/1.1 200 OK\nId: r1\nSeal: s\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n12\nid: 1\ndata: x\n\n\n0\n\n"
	for name, test := range map[string]struct {
		path, parts, crash, ok string
	}{
		"middle part, repeatable":     {"/safe/", "template bad", "", okResponse},
		"first part, repeatable":      {"/safe/", "bad template", "", okResponse},
		"middle part, not repeatable": {"/once/", "template bad", "", okResponse},
		"only part":                   {"/safe/", "bad", "", okResponse},
		"stream":                      {"/stream/", "template bad", "", streamOK},
		"stream with a chunked head": {
			"/stream/", "template bad", "HTTP/1.1 200 OK\nId: r1\nSeal: s\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n", streamOK,
		},
		"body shorter than its length": {
			"/safe/", "template bad", "HTTP/1.1 200 OK\nId: r1\nSeal: s\nContent-Length: 5\n\nhe", okResponse,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			servers := newPartServers(t, 20, test.crash, test.ok)
			w := newTestEnv(t, false, servers.addresses...)
			refused := 0
			for n := range 12 {
				id := strconv.Itoa(n)
				got := w.ask(http.MethodPost, test.path+id, id, map[string]string{"Id": id, "Parts": test.parts})
				if got.err == nil && got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != "" {
					refused++
				}
				for _, parts := range []string{"template", "template other", ""} {
					if got := w.ask(http.MethodPost, test.path+id, id, map[string]string{"Id": id, "Parts": parts}); got.status != http.StatusOK || got.err != nil {
						t.Errorf("a request with the parts %q got status %d, error %v", parts, got.status, got.err)
					}
				}
				time.Sleep(2 * exitLogDelay)
			}
			if exits := servers.exits.Load(); exits > maxPartCrashes {
				t.Errorf("%d servers exited, want %d at most", exits, maxPartCrashes)
			}
			if refused == 0 {
				t.Error("no request was refused")
			}
		})
	}
}
