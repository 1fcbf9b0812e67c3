package abuse

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coralstair/coralstair/lab/rawhttp"
	"github.com/coralstair/coralstair/lab/standin"
)

const (
	rawService  = "raw"
	rawSafePath = "/raw/safe/"
	rawOncePath = "/raw/once/"
	rawBody     = "hello"
	uploadBytes = 900 << 10
	// sendLimit only ends a request that the daemons hold without end.
	sendLimit = 10 * time.Second
	// resetTries is how often each way to end a connection is tried: which side of it the kernel tells of a reset is left to chance here.
	resetTries = 12
)

// resetPauses are how long uploads go on until their connections are reset.
var resetPauses = []time.Duration{time.Millisecond, 5 * time.Millisecond, 30 * time.Millisecond, 60 * time.Millisecond}

// ordinaryResponse is a response of the platform, in which ID stands for the id of the request.
var ordinaryResponse = "HTTP/1.1 200 OK\r\n" + strings.Join(standin.ResponseFields("s", "ID"), "\r\n") + "\r\nContent-Length: 5\r\n\r\n" + rawBody

// rawServers answer POST requests with the same answer, and count them. All other requests are health checks.
type rawServers struct {
	mu       sync.Mutex
	answer   rawhttp.Answer
	arrivals int
}

// setAnswer sets the answer to further requests; nil stands for an ordinary one.
func (s *rawServers) setAnswer(answer rawhttp.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer, s.arrivals = answer, 0
}

// setResponse sets a response, in which ID stands for the id of the request.
func (s *rawServers) setResponse(response string) {
	s.setAnswer(func(conn *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, withID(response, r))
	})
}

func withID(response string, r *http.Request) string {
	return strings.ReplaceAll(response, "ID", standin.RequestID(r))
}

func (s *rawServers) arrivalCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals
}

// start starts one of the servers at an address; id is its id on the platform.
func (s *rawServers) start(t *testing.T, address string, id func() string) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go rawhttp.Serve(listener, func(conn *net.TCPConn, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(conn, standin.RawHealth(id()))
			return
		}
		s.mu.Lock()
		s.arrivals++
		answer := s.answer
		s.mu.Unlock()
		if answer == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, withID(ordinaryResponse, r))
			return
		}
		answer(conn, r)
	})
}

// rawTarget sends requests by way of an entry to raw servers.
type rawTarget struct {
	process   *process
	entryAddr string
	servers   *rawServers
	// fields are header fields of each response.
	fields []string
	// send sends a request and returns its response; oncePath is a path whose requests must not be repeated, safePath one of others.
	send               func(ctx context.Context, path, body string) (status int, response string, err error)
	oncePath, safePath string
}

// newRawFleet returns an entry of the users' platform before two raw servers.
func newRawFleet(t *testing.T) rawTarget {
	t.Helper()
	skipUnlessApart(t)
	f := newFleet(t)
	servers := &rawServers{}
	at := newAddresses()
	for n := 1; n <= 2; n++ {
		registered := &standin.Server{
			Address: at(n, serverPort), Listen: at(n, serverPort+1), Service: rawService, Zone: site, Slots: 8, Store: f.store, Recorder: &standin.Recorder{},
		}
		servers.start(t, registered.Address, registered.ID)
		if err := registered.Start(1); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(registered.Crash)
	}
	cfg := config()
	cfg.Version++
	for path, kind := range map[string]string{rawSafePath: standin.KindSafe, rawOncePath: standin.KindUnsafe} {
		route := cfg.Routes[0]
		route.Name, route.PathPrefix, route.Kind, route.Service = path, path, kind, rawService
		cfg.Routes = append(cfg.Routes, route)
	}
	cfg.Services = append(cfg.Services, standin.Service{Name: rawService, HealthPath: standin.HealthPath, MaxConns: 100})
	f.store.Put(standin.TableDeclared, standin.KeyConfig, cfg)
	send := func(ctx context.Context, path, body string) (int, string, error) {
		header := make(http.Header)
		standin.Request{ID: fmt.Sprintf("raw-%d", f.requests.Add(1)), Key: key, Timeout: tryLimit}.SetRequestHeaders(header)
		return sendRaw(ctx, f.entryAddr, path, body, header)
	}
	return rawTarget{
		process: f.entry, entryAddr: f.entryAddr, servers: servers, send: send, oncePath: rawOncePath, safePath: rawSafePath,
		fields: standin.ResponseFields("s", "ID"),
	}
}

// newRawService returns an entry and a box of the product's own path before a raw server.
func newRawService(t *testing.T) rawTarget {
	t.Helper()
	skipUnlessApart(t)
	servers := &rawServers{}
	s := newServiceBefore(t, func(address string) { servers.start(t, address, func() string { return "" }) })
	send := func(ctx context.Context, path, body string) (int, string, error) {
		return sendRaw(ctx, s.entryAddr, path, body, http.Header{"Authorization": {"Bearer " + key}, "X-Request-Timeout": {"3s"}})
	}
	return rawTarget{process: s.box, entryAddr: s.entryAddr, servers: servers, send: send, oncePath: ownPath, safePath: ownPath}
}

// sendRaw sends a request on a new connection and reads the whole response.
func sendRaw(ctx context.Context, address, path, body string, header http.Header) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header, req.Host = header, host
	resp, err := (&http.Client{Timeout: sendLimit, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(got), err
}

// awaitServed waits until an ordinary response is delivered.
func (g rawTarget) awaitServed(t *testing.T) {
	t.Helper()
	g.servers.setAnswer(nil)
	if err := eventually(t.Context(), startLimit, func(ctx context.Context) error {
		status, body, err := g.send(ctx, g.oncePath, "x")
		if err == nil && (status != http.StatusOK || body != rawBody) {
			return fmt.Errorf("status %d, body %q", status, body)
		}
		return err
	}); err != nil {
		t.Fatalf("an ordinary response is not delivered: %v\n%s", err, g.process.lastLines())
	}
}

// checkNotBelieved sends a request whose response must not be passed on, nor count as "not run".
func (g rawTarget) checkNotBelieved(t *testing.T, path, body string) {
	t.Helper()
	status, got, err := g.send(t.Context(), path, body)
	arrived := g.servers.arrivalCount()
	switch {
	case err != nil || status != http.StatusBadGateway && status != http.StatusServiceUnavailable:
		t.Errorf("status %d, body %q, error %v, want an error response of the entry", status, got, err)
	case status == http.StatusServiceUnavailable && arrived > 0:
		t.Errorf("said not to have run after it arrived %d times", arrived)
	case path == g.oncePath && arrived > 1:
		t.Errorf("the request arrived %d times, want once", arrived)
	}
}

// checkResponses checks what becomes of raw responses.
func (g rawTarget) checkResponses(t *testing.T) {
	t.Helper()
	g.awaitServed(t)
	for name, fields := range map[string][]string{"": g.fields, ", not run": append([]string{standin.NotRunField}, g.fields...)} {
		for head, response := range rawhttp.InvalidHeads(fields...) {
			for _, path := range []string{g.oncePath, g.safePath} {
				t.Run(head+name+", "+path, func(t *testing.T) {
					g.servers.setResponse(response)
					g.checkNotBelieved(t, path, "x")
				})
			}
		}
	}
	for name, end := range rawhttp.Ends() {
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(name+", "+version, func(t *testing.T) {
				response := strings.Join(append([]string{version + " 200 OK"}, g.fields...), "\r\n") + "\r\n\r\nhell"
				for try := range resetTries {
					paused := end.WithPause(resetPauses[try%len(resetPauses)])
					g.servers.setAnswer(func(conn *net.TCPConn, r *http.Request) { paused.Answer(withID(response, r))(conn, r) })
					if !end.Complete {
						g.checkNotBelieved(t, g.oncePath, strings.Repeat("x", uploadBytes))
						continue
					}
					if status, got, err := g.send(t.Context(), g.oncePath, strings.Repeat("x", uploadBytes)); err != nil || status != http.StatusOK || got != "hell" {
						t.Errorf("status %d, body %q, error %v, want the response", status, got, err)
					}
				}
			})
		}
	}
	g.awaitServed(t)
	if !g.process.alive() {
		t.Error("the process has ended")
	}
}

// TestResponsesOnPlatform guards against broken responses that reach callers by way of an entry of the users' platform.
func TestResponsesOnPlatform(t *testing.T) { newRawFleet(t).checkResponses(t) }

// TestResponsesOnOwnPath guards against broken responses that reach callers by way of an entry and a box of the product's own path.
func TestResponsesOnOwnPath(t *testing.T) { newRawService(t).checkResponses(t) }
