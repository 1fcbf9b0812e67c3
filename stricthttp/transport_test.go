package stricthttp

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/coralstair/coralstair/lab/rawhttp"
)

// TestClientsCheckHeads checks that invalid heads are errors, with and without a request body, and that other ones are not.
func TestClientsCheckHeads(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		get := func(t *testing.T, response string) (int, string, error) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = listener.Close() })
			go rawhttp.Serve(listener, func(conn *net.TCPConn, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, response)
			})
			req, err := http.NewRequestWithContext(t.Context(), method, "http://"+listener.Addr().String(), strings.NewReader("x"))
			if err != nil {
				t.Fatal(err)
			}
			resp, err := NewClient().Do(req)
			if err != nil {
				return 0, "", err
			}
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			return resp.StatusCode, string(body), err
		}
		for name, response := range rawhttp.InvalidHeads() {
			t.Run(method+" invalid: "+name, func(t *testing.T) {
				if status, body, err := get(t, response); err == nil {
					t.Errorf("status %d, body %q", status, body)
				}
			})
		}
		for name, test := range rawhttp.ValidHeads() {
			t.Run(method+" valid: "+name, func(t *testing.T) {
				if status, body, err := get(t, test.Response); err != nil || status != test.Status || body != test.Body {
					t.Errorf("status %d, body %q, error %v", status, body, err)
				}
			})
		}
	}
}

// TestUpgradesAreAccepted checks that a response may switch protocols where the request asked for it.
func TestUpgradesAreAccepted(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\nhello")
	}))
	defer server.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", "echo")
	resp, err := NewClient().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != "hello" {
		t.Errorf("read %q, error %v", got, err)
	}
}

// TestTLSWithHTTP2IsAccepted checks that responses of HTTP/2, which TLS may bring, are no invalid versions.
func TestTLSWithHTTP2IsAccepted(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }))
	server.EnableHTTP2 = true
	server.StartTLS()
	defer server.Close()
	base := server.Client().Transport.(*http.Transport).Clone()
	base.ForceAttemptHTTP2 = true
	resp, err := (&http.Client{Transport: NewTransport(base)}).Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "hello" || resp.ProtoMajor != 2 {
		t.Errorf("%s, body %q, error %v", resp.Proto, body, err)
	}
}
