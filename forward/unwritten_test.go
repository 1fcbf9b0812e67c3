package forward

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/coralstair/coralstair/lab/rawhttp"
	"github.com/coralstair/coralstair/stricthttp"
)

// uploadBytes is more than the buffers of a connection hold, so that a server that does not read holds the request up.
const uploadBytes = 900 << 10

// useWriteFirstConns makes an entry's connections to servers report a reset to a Write first.
func useWriteFirstConns(e *Entry) {
	dial := e.transport.DialContext
	e.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		inner := c.(*stricthttp.Conn).Conn.(*conn)
		_ = inner.Conn.(*net.TCPConn).SetWriteBuffer(kernelBuffer)
		inner.Conn = rawhttp.NewWriteFirstConn(inner.Conn)
		return c, nil
	}
}

// TestResponsesOfResetConnectionsAreNotComplete guards against passing on as complete what a server has sent of a response without a length
// when it resets the connection while the request is still being written.
func TestResponsesOfResetConnectionsAreNotComplete(t *testing.T) {
	const fields = " 200 OK\r\nId: r1\r\nSeal: s\r\n"
	health := rawhttp.Answer(func(conn *net.TCPConn, _ *http.Request) {
		writeRaw(conn, "HTTP/1.1 200 OK\nServer-Id: "+serverName(0)+"\nContent-Length: 0\n\n")
	})
	for name, end := range rawhttp.Ends() {
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			for kind, test := range map[string]struct{ path, response string }{
				"body":    {"/once/a", fields + "\r\nhell"},
				"no body": {"/once/a", fields + "\r\n"},
				"stream":  {"/stream/once/a", fields + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n"},
			} {
				t.Run(name+", "+version+", "+kind, func(t *testing.T) {
					t.Parallel()
					listener, err := net.Listen("tcp", "127.0.0.1:0")
					if err != nil {
						t.Fatal(err)
					}
					defer func() { _ = listener.Close() }()
					answer := end.Answer(version + test.response)
					go rawhttp.Serve(listener, func(conn *net.TCPConn, r *http.Request) {
						if r.URL.Path == testHealthPath {
							health(conn, r)
							return
						}
						answer(conn, r)
					})
					w := newHealthEnv(t, listener.Addr().String())
					useWriteFirstConns(w.entry)
					got := w.ask(http.MethodPost, test.path, strings.Repeat("x", uploadBytes), nil)
					if complete := got.err == nil && got.status == http.StatusOK; complete != end.Complete {
						t.Errorf("status %d, body %q, error %v", got.status, got.body, got.err)
					}
				})
			}
		}
	}
}
