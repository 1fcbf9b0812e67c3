package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// closingUpstream answers the first request on its first connection and closes that connection once it got the second one; it answers all
// requests on later connections.
type closingUpstream struct {
	listener net.Listener
	conns    atomic.Int32
	requests atomic.Int32
	redirect bool
}

func newClosingUpstream(t *testing.T) *closingUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	u := &closingUpstream{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn, u.conns.Add(1) == 1)
		}
	}()
	return u
}

func (u *closingUpstream) serve(conn net.Conn, first bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		u.requests.Add(1)
		if first && n == 2 {
			return
		}
		status := "200 OK"
		if u.redirect {
			status = "307 Temporary Redirect\r\nLocation: /elsewhere"
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", status); err != nil {
			return
		}
	}
}

// TestRequestIsSentOnce guards against a caller's request that runs twice: the HTTP client sends it again by itself when a kept connection
// fails, as its method, body or headers let it.
func TestRequestIsSentOnce(t *testing.T) {
	for _, method := range []string{"GET", "POST", "PUT", "DELETE", "CONFIRM"} {
		for _, name := range []string{"", "Idempotency-Key", "X-Idempotency-Key"} {
			for _, body := range []string{"", "hello"} {
				t.Run(fmt.Sprintf("%s, %s, %q", method, name, body), func(t *testing.T) {
					u := newClosingUpstream(t)
					client := &Client{URL: "http://" + u.listener.Addr().String(), HTTP: &http.Client{Transport: &http.Transport{}}}
					resp, err := client.Do(t.Context(), "POST", "/a", http.Header{}, []byte("x"))
					if err != nil {
						t.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					header := http.Header{}
					if name != "" {
						header.Set(name, "k1")
					}
					resp, err = client.Do(t.Context(), method, "/b", header, []byte(body))
					if err == nil {
						_ = resp.Body.Close()
					}
					if got := u.requests.Load(); got != 2 || !errors.As(err, new(*CallError)) {
						t.Errorf("%d requests arrived, want 2; error %v, want one that leaves open whether it ran", got, err)
					}
				})
			}
		}
	}
}

// TestRedirectIsNotFollowed guards against a caller's request that is sent a second time to where its upstream redirects it.
func TestRedirectIsNotFollowed(t *testing.T) {
	u := newClosingUpstream(t)
	u.redirect = true
	client := &Client{URL: "http://" + u.listener.Addr().String(), HTTP: &http.Client{Transport: &http.Transport{}}}
	resp, err := client.Do(t.Context(), "POST", "/a", http.Header{}, []byte("x"))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusTemporaryRedirect || u.requests.Load() != 1 {
		t.Errorf("status %d after %d requests, want 307 after 1", resp.StatusCode, u.requests.Load())
	}
}
