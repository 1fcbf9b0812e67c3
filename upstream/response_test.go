package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/coralstair/coralstair/lab/rawhttp"
	"github.com/coralstair/coralstair/stricthttp"
)

// newRawUpstream returns a client of an upstream that answers with raw bytes, over connections of which a Write reports a reset first.
func newRawUpstream(t *testing.T, answer rawhttp.Answer) *Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go rawhttp.Serve(listener, answer)
	transport := stricthttp.NewTransport(&http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10)
		return rawhttp.NewWriteFirstConn(c), nil
	}})
	t.Cleanup(transport.CloseIdleConnections)
	return &Client{URL: "http://" + listener.Addr().String(), HTTP: &http.Client{Transport: transport}}
}

// read sends a request and returns the whole response.
func read(t *testing.T, client *Client, request string) (status int, body string, err error) {
	t.Helper()
	resp, err := client.Do(t.Context(), http.MethodPost, "/a", http.Header{}, []byte(request))
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(got), err
}

// TestResponsesOfResetConnectionsAreNotComplete guards against taking for complete what an upstream has sent of a response without a length
// when it resets the connection while the request is still being written.
func TestResponsesOfResetConnectionsAreNotComplete(t *testing.T) {
	for name, end := range rawhttp.Ends() {
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(name+", "+version, func(t *testing.T) {
				t.Parallel()
				client := newRawUpstream(t, end.Answer(version+" 200 OK\r\n\r\nhell"))
				status, body, err := read(t, client, strings.Repeat("x", 900<<10))
				if complete := err == nil && status == http.StatusOK; complete != end.Complete {
					t.Errorf("status %d, body %q, error %v", status, body, err)
				}
			})
		}
	}
}

// TestInvalidHeadsAreNotBelieved guards against responses that net/http accepts although their heads are invalid: whether the request ran
// is not known.
func TestInvalidHeadsAreNotBelieved(t *testing.T) {
	for name, response := range rawhttp.InvalidHeads() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := newRawUpstream(t, func(conn *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(conn, response) })
			status, body, err := read(t, client, "x")
			if !errors.As(err, new(*CallError)) {
				t.Errorf("status %d, body %q, error %v, want one that leaves open whether the request ran", status, body, err)
			}
		})
	}
}

// TestValidHeadsAreAccepted guards against the rejection of unusual heads that RFC 9110 and RFC 9112 allow.
func TestValidHeadsAreAccepted(t *testing.T) {
	for name, test := range rawhttp.ValidHeads() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := newRawUpstream(t, func(conn *net.TCPConn, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, test.Response)
			})
			if status, body, err := read(t, client, "x"); err != nil || status != test.Status || body != test.Body {
				t.Errorf("status %d, body %q, error %v", status, body, err)
			}
		})
	}
}

// TestOrdersAreAcceptedBySuccesses guards against taking for an accepted order what does not say so.
func TestOrdersAreAcceptedBySuccesses(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		accepted bool
	}{
		"success":      {"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n", true},
		"not modified": {"HTTP/1.1 304 Not Modified\r\n\r\n", false},
		"status 000":   {"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", false},
		"failure":      {"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := newRawUpstream(t, func(conn *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(conn, test.response) })
			if err := client.Order(t.Context(), Order{}); (err == nil) != test.accepted {
				t.Errorf("error %v, want the order accepted: %t", err, test.accepted)
			}
		})
	}
}
