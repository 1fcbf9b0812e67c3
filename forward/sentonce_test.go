package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// closePoints are how far an exchange gets before the server closes the connection; answer is what it writes of its response.
var closePoints = map[string]struct {
	reads  int
	answer string
}{
	"before the request":         {},
	"within the head":            {reads: 20},
	"after the request":          {reads: -1},
	"within the status line":     {reads: -1, answer: "HTTP/1.1 2"},
	"within the response header": {reads: -1, answer: "HTTP/1.1 200 OK\r\nId: r2\r\nSe"},
	"within the response body":   {reads: -1, answer: "HTTP/1.1 200 OK\r\nId: r2\r\nSeal: s\r\nContent-Length: 5\r\n\r\nhe"},
}

// closingServer answers the first request on its first connection, and closes that connection at a point of the next exchange. It
// records the requests that it got whole and answers them on later connections.
type closingServer struct {
	listener net.Listener
	reads    int
	answer   string
	reset    bool

	mu       sync.Mutex
	conns    int
	requests []*http.Request
}

func newClosingServer(t *testing.T, reads int, answer string, reset bool) *closingServer {
	t.Helper()
	n := fakeServers.Add(1)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.1.%d.%d:0", n/250%250, 1+n%250))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &closingServer{listener: listener, reads: reads, answer: answer, reset: reset}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			first := s.conns == 1
			s.mu.Unlock()
			go s.serve(conn, first)
		}
	}()
	return s
}

func (s *closingServer) serve(conn net.Conn, first bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		if first && n == 2 && s.reads >= 0 {
			_, _ = io.CopyN(io.Discard, reader, int64(s.reads))
			s.closeConn(conn)
			return
		}
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.mu.Lock()
		s.requests = append(s.requests, r)
		s.mu.Unlock()
		if first && n == 2 {
			head, body, _ := strings.Cut(s.answer, "\r\n\r\n")
			if _, _ = io.WriteString(conn, head); body != "" && r.Method != http.MethodHead {
				_, _ = io.WriteString(conn, "\r\n\r\n"+body)
			}
			s.closeConn(conn)
			return
		}
		length := "Content-Length: 5\r\n\r\nhello"
		if r.Method == http.MethodHead {
			length = "Content-Length: 5\r\n\r\n"
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n%s", r.Header.Get("Id"), length); err != nil {
			return
		}
	}
}

func (s *closingServer) closeConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok && s.reset {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// arrived returns the whole requests with an id.
func (s *closingServer) arrived(id string) (requests []*http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.requests {
		if r.Header.Get("Id") == id {
			requests = append(requests, r)
		}
	}
	return requests
}

// askRaw sends a request as it is written and returns the status of its response; 0 if there is none.
func (w *testEnv) askRaw(method, id, header, body string) int {
	w.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
	if err != nil {
		w.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = fmt.Fprintf(conn, "%s /once/a HTTP/1.1\r\nHost: h\r\nId: %s\r\n%s%s", method, id, header, body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// TestCallerCannotMakeARequestRunTwice guards against a transport that sends a request again by itself when a kept connection fails, as
// the method, the body or a header of the caller lets it.
func TestCallerCannotMakeARequestRunTwice(t *testing.T) {
	bodies := map[string]string{
		"no body":      "\r\n",
		"empty body":   "Content-Length: 0\r\n\r\n",
		"known length": "Content-Length: 5\r\n\r\nhello",
		"streamed":     "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	}
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "TRACE", "POST", "PUT", "PATCH", "DELETE", "CONFIRM"} {
		for _, header := range []string{"", "Idempotency-Key", "X-Idempotency-Key"} {
			for bodyName, body := range bodies {
				for point, at := range closePoints {
					t.Run(fmt.Sprintf("%s, %s, %s, %s", method, header, bodyName, point), func(t *testing.T) {
						t.Parallel()
						for _, reset := range []bool{false, true} {
							checkSentOnce(t, method, header, body, newClosingServer(t, at.reads, at.answer, reset))
						}
					})
				}
			}
		}
	}
}

func checkSentOnce(t *testing.T, method, headerName, body string, s *closingServer) {
	t.Helper()
	w := newTestEnv(t, false, s.listener.Addr().String())
	if status := w.askRaw("POST", "r1", "", "Content-Length: 1\r\n\r\nx"); status != http.StatusOK {
		t.Fatalf("status %d of the first request", status)
	}
	header := ""
	if headerName != "" {
		header = headerName + ": k1\r\n"
	}
	status := w.askRaw(method, "r2", header, body)
	got := s.arrived("r2")
	switch {
	case len(got) > 1:
		t.Errorf("the request arrived %d times", len(got))
	case len(got) == 1 && status == http.StatusServiceUnavailable:
		t.Error("the request arrived, but is said not to have run")
	case len(got) == 1 && headerName != "" && got[0].Header.Get(headerName) != "k1":
		t.Errorf("header %s arrived as %q", headerName, got[0].Header.Get(headerName))
	}
}
