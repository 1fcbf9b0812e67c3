package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/connlimit"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/machine"
)

// testWire implements Wire with short header names.
type testWire struct{}

func (testWire) ParseRequest(r *http.Request) RequestInfo {
	wait, _ := strconv.Atoi(r.Header.Get("Wait"))
	return RequestInfo{
		ID: r.Header.Get("Id"), Key: r.Header.Get("Key"), Timeout: time.Duration(wait) * time.Millisecond,
		LastEvent: r.Header.Get("Last"),
	}
}

// SharedParts returns the space-separated words of the header Parts.
func (testWire) SharedParts(h http.Header) []string { return strings.Fields(h.Get("Parts")) }

func (testWire) SetRequestHeaders(h http.Header, info AttemptInfo) {
	h.Del("Key")
	h.Set("Wait", strconv.FormatInt(info.TimeLeft.Milliseconds(), 10))
	h.Set("Expect", info.Server)
	h.Set("Team", info.Team)
	h.Set("Rank", strconv.Itoa(info.Priority))
	if info.LastEvent != "" {
		h.Set("Last", info.LastEvent)
	}
}

func (testWire) ParseResponse(resp *http.Response) ResponseInfo {
	reply := ResponseInfo{
		ID: resp.Header.Get("Id"), Sealed: resp.Header.Get("Seal") != "",
		NotRun: resp.Header.Get("Not-Run") != "" || resp.StatusCode == http.StatusMisdirectedRequest,
	}
	reply.Pushback.Leaving = resp.Header.Get("Server-Leaving") != ""
	if limit, err := strconv.ParseFloat(resp.Header.Get("Server-Limit"), 64); err == nil {
		reply.Pushback.Limited, reply.Pushback.Limit = true, limit
	}
	if rest, err := time.ParseDuration(resp.Header.Get("Rest")); err == nil {
		reply.Pushback.Pause = rest
	}
	return reply
}

func (testWire) SetHealthHeaders(h http.Header, server string) { h.Set("Expect-Server", server) }

func (testWire) ParseHealth(resp *http.Response) string { return resp.Header.Get("Server-Id") }

func (testWire) SetRefusalHeaders(h http.Header, id string, after time.Duration) {
	h.Set("Id", id)
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
}

func (testWire) EventVersion(event []byte) (contract.Version, bool) {
	value, ok := strings.CutPrefix(string(event), "version:")
	if !ok {
		return 0, false
	}
	n, _ := strconv.Atoi(strings.TrimSpace(strings.SplitN(value, "\n", 2)[0]))
	return contract.Version(n), true
}

// fixedSource returns one state and never changes.
type fixedSource struct {
	declared discovery.Declared
	servers  discovery.Servers
}

func (s fixedSource) Declared(context.Context) (discovery.Declared, error) { return s.declared, nil }

func (s fixedSource) DeclaredAfter(ctx context.Context, _ discovery.Cursor, _ time.Duration) (discovery.Declared, error) {
	<-ctx.Done()
	return discovery.Declared{}, ctx.Err()
}

func (s fixedSource) Servers(context.Context) (discovery.Servers, error) { return s.servers, nil }

func (s fixedSource) ServersAfter(ctx context.Context, _ discovery.Cursor, _ time.Duration) (discovery.Servers, error) {
	<-ctx.Done()
	return discovery.Servers{}, ctx.Err()
}

// testEnv is an entry in front of test servers.
type testEnv struct {
	t        *testing.T
	entry    *Entry
	listener *connlimit.Listener
	url      string
}

var testRoutes = []contract.Route{
	{Name: "safe", Host: "h", Prefix: "/safe/", Kind: contract.KindSafe, TimeLimit: 3 * time.Second, Attempts: 2},
	{Name: "once", Host: "h", Prefix: "/once/", Kind: contract.KindOnce, TimeLimit: 2 * time.Second, Attempts: 1},
	{Name: "short", Host: "h", Prefix: "/short/", Kind: contract.KindOnce, TimeLimit: 200 * time.Millisecond, Attempts: 1},
	{Name: "once2", Host: "h", Prefix: "/once/two/", Kind: contract.KindOnce, TimeLimit: 2 * time.Second, Attempts: 2},
	{Name: "open", Host: "h", Prefix: "/open/", Kind: contract.KindSafe, TimeLimit: time.Second, Attempts: 1, Public: true},
	{
		Name: "stream", Host: "h", Prefix: "/stream/", Kind: contract.KindStream, TimeLimit: 3 * time.Second, Attempts: 2,
		Resumable: true, PauseGoal: 100 * time.Millisecond,
	},
	{
		Name: "stream at one server", Host: "h", Prefix: "/stream/single/", Kind: contract.KindStream, TimeLimit: 3 * time.Second, Attempts: 1,
		Resumable: true, PauseGoal: 100 * time.Millisecond,
	},
	{Name: "stream once", Host: "h", Prefix: "/stream/once/", Kind: contract.KindStream, TimeLimit: 3 * time.Second, Attempts: 2},
}

// newTestEnv returns an entry in front of servers at addresses; all routes lead to them.
func newTestEnv(t *testing.T, keyed bool, addresses ...string) *testEnv {
	t.Helper()
	return newTestEnvFrom(t, newTestSource(keyed, addresses...))
}

// newTestSource returns a source of the test routes, which all lead to servers at addresses.
func newTestSource(keyed bool, addresses ...string) fixedSource {
	routes := make([]contract.Route, len(testRoutes))
	for i, route := range testRoutes {
		route.Split = []contract.Share{{Service: "s", Weight: 1}}
		routes[i] = route
	}
	var teams []contract.Team
	if keyed {
		teams = []contract.Team{{Name: "team", Keys: []string{"good"}}}
	}
	limits := contract.Limits{HeaderBytes: 4096, BodyBytes: 1 << 20}
	return testSource(contract.NewConfig(1, limits, routes, []contract.Service{{Name: "s", MaxConns: 100}}, teams), addresses...)
}

// testSource returns a source of a configuration and of servers at addresses.
func testSource(cfg *contract.Config, addresses ...string) fixedSource {
	source := fixedSource{declared: discovery.Declared{Config: cfg}}
	for i, address := range addresses {
		source.servers.Present = append(source.servers.Present, contract.Server{
			ID: serverName(i), Service: "s", Address: address, Slots: 4,
		})
	}
	return source
}

func newTestEnvFrom(t *testing.T, source discovery.Source) *testEnv {
	t.Helper()
	return newLimitedTestEnv(t, source, connlimit.Limits{})
}

// newLimitedTestEnv returns an entry whose callers keep to limits.
func newLimitedTestEnv(t *testing.T, source discovery.Source, limits connlimit.Limits) *testEnv {
	t.Helper()
	logger := &log.Logger{Handler: discard.Default, Level: log.InfoLevel}
	v := discovery.New(source, discovery.Options{Log: logger})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = v.ServeDeclared(ctx) }()
	go func() { _ = v.ServeServers(ctx) }()
	e := New(Config{
		Machine: machine.Machine{ID: "e", Site: "z", Bounds: machine.Bounds{
			RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second, Grace: 3 * time.Second,
		}},
		View: v, Wire: testWire{}, Log: logger,
	})
	for deadline := time.Now().Add(2 * time.Second); !v.Ready() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	// The entry has been running for long, and is the only one.
	e.budget.StartedAt(time.Time{})
	e.budget.SetEntries(1, clock.Now())
	e.upstreams.update(v.Servers())
	server := httptest.NewUnstartedServer(e)
	server.Config.ConnContext = limitBuffer
	listener := connlimit.NewListener(server.Listener, connlimit.Options{Limits: limits, Request: e.requestLimits})
	listener.Apply(server.Config)
	server.Listener = listener
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		cancel()
		e.transport.CloseIdleConnections()
	})
	return &testEnv{t: t, entry: e, listener: listener, url: server.URL}
}

// result is a response as the caller received it; err is set if it was cut off.
type result struct {
	status int
	header http.Header
	body   string
	closes bool
	err    error
}

func (w *testEnv) ask(method, path, body string, header map[string]string) result {
	w.t.Helper()
	req, err := http.NewRequest(method, w.url+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Id", "r1")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, header: resp.Header, body: string(got), closes: resp.Close, err: err}
}

// fakeServer is a server that answers with raw bytes.
type fakeServer struct {
	address  string
	listener net.Listener
	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
	conns    []net.Conn
}

// end stops the server: it no longer listens, and its connections are closed.
func (f *fakeServer) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.listener.Close()
	for _, conn := range f.conns {
		_ = conn.Close()
	}
}

// fakeServers counts the fake servers. Each has an address of its own, so that the port of one that has ended is not used again.
var fakeServers atomic.Int64

// newFakeServer starts a server; answer writes the response to each request and returns false to close the connection.
func newFakeServer(t *testing.T, answer responder) *fakeServer {
	t.Helper()
	n := fakeServers.Add(1)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.1.%d.%d:0", n/250%250, 1+n%250))
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeServer{address: listener.Addr().String()}
	f.accept(listener, answer)
	t.Cleanup(f.end)
	return f
}

// accept serves connections until the listener is closed.
func (f *fakeServer) accept(listener net.Listener, answer responder) {
	f.mu.Lock()
	f.listener = listener
	f.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.conns = append(f.conns, conn)
			f.mu.Unlock()
			go f.serve(conn, answer)
		}
	}()
}

// restart starts a server that has ended again.
func (f *fakeServer) restart(answer responder) {
	if listener, err := net.Listen("tcp", f.address); err == nil {
		f.accept(listener, answer)
	}
}

func (f *fakeServer) serve(conn net.Conn, answer responder) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		f.mu.Lock()
		f.requests = append(f.requests, r)
		f.bodies = append(f.bodies, string(body))
		n := len(f.requests)
		f.mu.Unlock()
		if !answer(conn, n, r) {
			return
		}
	}
}

// arrivals returns the number of requests received.
func (f *fakeServer) arrivals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}

func writeRaw(conn net.Conn, text string) bool {
	_, err := conn.Write([]byte(strings.ReplaceAll(text, "\n", "\r\n")))
	return err == nil
}

// okResponse is a complete response to request r1.
const okResponse = "HTTP/1.1 200 OK\nId: r1\nSeal: s\nContent-Length: 5\n\nhello"

func respondOK(conn net.Conn, _ int, _ *http.Request) bool { return writeRaw(conn, okResponse) }

type responder func(conn net.Conn, n int, r *http.Request) bool

func respondWith(text string) responder {
	return func(conn net.Conn, _ int, _ *http.Request) bool { return writeRaw(conn, text) }
}

// firstThen answers the first request of all servers that share it differently from later ones.
func firstThen(first, then responder) responder {
	var seen atomic.Int64
	return func(conn net.Conn, n int, r *http.Request) bool {
		if seen.Add(1) == 1 {
			return first(conn, n, r)
		}
		return then(conn, n, r)
	}
}

// reset makes closing conn send a TCP reset. A responder returns its result, false, to have conn closed.
func reset(conn net.Conn) bool {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return false
}
