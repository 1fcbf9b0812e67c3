package connlimit

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// pipeListener accepts the ends of pipes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// testServer is a server behind a Listener in virtual time.
type testServer struct {
	t        *testing.T
	listener *Listener
	conns    chan net.Conn
}

// serveTest serves requests in virtual time: those to /wait take a minute, all others are answered with their body.
func serveTest(t *testing.T, opts Options, use func(s *testServer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		inner := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		s := &testServer{t: t, listener: NewListener(inner, opts), conns: inner.conns}
		server := &http.Server{Handler: http.HandlerFunc(s.serve)}
		s.listener.Apply(server)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = server.Serve(s.listener)
		}()
		use(s)
		_ = server.Close()
		<-done
		synctest.Wait()
	})
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || !FromContext(r.Context()).Received() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == "/wait" {
		select {
		case <-time.After(time.Minute):
		case <-r.Context().Done():
		}
	}
	_, _ = w.Write(body)
}

// client is a client's connection. What it receives is read all the time.
type client struct {
	net.Conn
	received strings.Builder
	closed   bool
}

// connect opens a connection and sends a text.
func (s *testServer) connect(text string) *client {
	s.t.Helper()
	near, far := net.Pipe()
	s.conns <- far
	c := &client{Conn: near}
	go func() {
		_, _ = io.Copy(&c.received, near)
		c.closed = true
	}()
	if text != "" {
		go func() { _, _ = io.WriteString(near, text) }()
	}
	synctest.Wait()
	return c
}

// ask sends an ordinary request and reports whether it is answered.
func (s *testServer) ask() bool {
	s.t.Helper()
	c := s.connect("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello")
	defer func() {
		_ = c.Close()
		synctest.Wait()
	}()
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(c.received.String())), nil)
	return err == nil && resp.StatusCode == http.StatusOK
}

// header returns an unfinished header of short lines.
func header(lines int) string {
	var text strings.Builder
	text.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
	for n := range lines {
		fmt.Fprintf(&text, "a%d:\r\n", n)
	}
	return text.String()
}

// TestOrdinaryClientsGetIn checks that a client which sends its request at once is served while others hold all connections.
func TestOrdinaryClientsGetIn(t *testing.T) {
	const connections = 20
	for name, text := range map[string]string{
		"nothing sent":      "",
		"unfinished header": header(3),
		"idle connection":   "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"unfinished body":   "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhe",
		"unfinished chunk":  "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhe",
	} {
		t.Run(name, func(t *testing.T) {
			serveTest(t, Options{Limits: Limits{Connections: connections}}, func(s *testServer) {
				for range 2 * connections {
					s.connect(text)
				}
				if open := len(s.listener.conns); open > connections {
					t.Errorf("%d connections are open, at most %d may be", open, connections)
				}
				time.Sleep(stallTime)
				for range 2 * connections {
					if !s.ask() {
						t.Fatal("an ordinary request is not served")
					}
				}
			})
		})
	}
}

// TestServedRequestsAreKept checks that connections are refused, not closed, while all others wait for their responses.
func TestServedRequestsAreKept(t *testing.T) {
	const connections = 20
	serveTest(t, Options{Limits: Limits{Connections: connections}}, func(s *testServer) {
		waiting := make([]*client, connections)
		for i := range waiting {
			waiting[i] = s.connect("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
		}
		time.Sleep(stallTime)
		if refused := s.connect(header(1)); !refused.closed {
			t.Error("a connection too many is open")
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		for i, c := range waiting {
			if !strings.HasPrefix(c.received.String(), "HTTP/1.1 200") {
				t.Errorf("request %d got %q", i, c.received.String())
			}
		}
	})
}

// TestUnreadResponses checks that connections of clients that do not read are closed in favour of others.
func TestUnreadResponses(t *testing.T) {
	const connections = 20
	serveTest(t, Options{Limits: Limits{Connections: connections}}, func(s *testServer) {
		for range connections {
			near, far := net.Pipe()
			s.conns <- far
			_, _ = io.WriteString(near, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		}
		time.Sleep(2 * stallTime)
		if !s.ask() {
			t.Error("an ordinary request is not served")
		}
	})
}

// TestRequestMemory checks that unfinished requests together are bounded, and that those which have been unfinished for longest go first.
func TestRequestMemory(t *testing.T) {
	const requestBytes = 1 << 20
	serveTest(t, Options{Limits: Limits{RequestBytes: requestBytes}}, func(s *testServer) {
		long := header(2000)
		first := s.connect(long)
		for range 10 {
			s.connect(long)
			if s.listener.counted > requestBytes {
				t.Fatalf("%d bytes are counted, at most %d may be", s.listener.counted, requestBytes)
			}
		}
		if !first.closed {
			t.Error("the oldest connection is open")
		}
		if last := s.connect(long + "\r\n"); !strings.HasPrefix(last.received.String(), "HTTP/1.1 200") {
			t.Errorf("the last request got %q", last.received.String())
		}
		if !s.ask() {
			t.Error("an ordinary request is not served")
		}
	})
}

// TestMemoryOfServedRequests checks that requests find no memory while those that are served hold it, except for usual ones.
func TestMemoryOfServedRequests(t *testing.T) {
	serveTest(t, Options{Limits: Limits{RequestBytes: 100 << 10}}, func(s *testServer) {
		long := func(path string) string {
			return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n" + strings.Repeat("x", 90000)
		}
		served := s.connect(long("/wait"))
		if refused := s.connect(long("/")); !strings.HasPrefix(refused.received.String(), "HTTP/1.1 503") {
			t.Errorf("the second request got %q", refused.received.String())
		}
		if !s.ask() {
			t.Error("an ordinary request is not served")
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		if !strings.HasPrefix(served.received.String(), "HTTP/1.1 200") {
			t.Errorf("the first request got %q", served.received.String())
		}
		if s.listener.counted != 0 {
			t.Errorf("%d bytes are still counted", s.listener.counted)
		}
	})
}

// TestRequestLimits checks the limits on one request, which may change while the server runs.
func TestRequestLimits(t *testing.T) {
	whole := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, test := range map[string]struct {
		limits RequestLimits
		text   string
		after  time.Duration
		closed bool
		want   string
	}{
		"header in time":           {RequestLimits{HeaderTime: 3 * time.Second}, header(3), 2 * time.Second, false, ""},
		"header too slow":          {RequestLimits{HeaderTime: 3 * time.Second}, header(3), 5 * time.Second, true, ""},
		"nothing sent":             {RequestLimits{HeaderTime: 3 * time.Second}, "", 5 * time.Second, true, ""},
		"idle":                     {RequestLimits{IdleTime: 9 * time.Second}, whole, 8 * time.Second, false, "HTTP/1.1 200"},
		"idle for too long":        {RequestLimits{IdleTime: 9 * time.Second}, whole, 11 * time.Second, true, "HTTP/1.1 200"},
		"header at the limit":      {RequestLimits{HeaderBytes: 16 << 10}, header(2000) + "\r\n", time.Second, false, "HTTP/1.1 200"},
		"header too long":          {RequestLimits{HeaderBytes: 16 << 10}, header(8000), time.Second, true, "HTTP/1.1 431"},
		"header below a new limit": {RequestLimits{HeaderBytes: 256 << 10}, header(20000) + "\r\n", time.Second, false, "HTTP/1.1 200"},
		"request line too long":    {RequestLimits{}, "GET /" + strings.Repeat("x", 100<<10), time.Second, true, "HTTP/1.1 431"},
		"empty lines":              {RequestLimits{}, strings.Repeat("\r\n", 1000), time.Second, true, "HTTP/1.1 400"},
	} {
		t.Run(name, func(t *testing.T) {
			var limits RequestLimits
			serveTest(t, Options{Request: func() RequestLimits { return limits }}, func(s *testServer) {
				limits = test.limits
				c := s.connect(test.text)
				time.Sleep(test.after)
				synctest.Wait()
				if c.closed != test.closed || !strings.HasPrefix(c.received.String(), test.want) {
					t.Errorf("closed %v with %q, want %v with %q", c.closed, c.received.String(), test.closed, test.want)
				}
				_ = c.Close()
			})
		})
	}
}

// TestClosedRequestIsNotServed checks that a request is not served if its connection was closed while its header was parsed.
func TestClosedRequestIsNotServed(t *testing.T) {
	served := false
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served = true })}
	l := NewListener(nil, Options{})
	l.Apply(server)
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	c := l.add(far)
	l.mu.Lock()
	c.drop(connectionsFull)
	l.unlock()
	req, err := http.NewRequestWithContext(server.ConnContext(context.Background(), c), http.MethodGet, "/", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if cause := recover(); cause != http.ErrAbortHandler || served {
			t.Errorf("ended with %v, served %v", cause, served)
		}
	}()
	server.Handler.ServeHTTP(nil, req)
}

// TestBudget checks what the clients of a process and of a listener may hold.
func TestBudget(t *testing.T) {
	for name, test := range map[string]struct {
		memory      int64
		descriptors int
		percent     int64
		want        Limits
	}{
		"limited by descriptors": {1 << 30, 1000, 100, Limits{500, 128 << 20}},
		"limited by memory":      {160 << 20, 100000, 100, Limits{1024, 20 << 20}},
		"a share":                {160 << 20, 100000, 50, Limits{512, 10 << 20}},
		"a small share":          {160 << 20, 100, 10, Limits{minConnections, 2 << 20}},
		"unknown memory":         {0, 0, 100, Limits{DefaultMemory / 4 / connectionBytes, DefaultMemory / 8}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := NewBudget(test.memory, test.descriptors).Share(test.percent); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}
