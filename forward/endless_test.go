package forward

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestBytesWithoutEndAreCutOff guards against a server in trouble whose bytes, which are no answer, fill the memory of an entry or hold a
// request: they come without end, in a head or a body, until the entry closes.
func TestBytesWithoutEndAreCutOff(t *testing.T) {
	const (
		// maxHead and maxBody bound the bytes that a server gets rid of, those in buffers of the kernel included.
		maxHead, maxBody = 1 << 20, 20 << 20
		// maxTime is the longest time limit of the routes, with some slack.
		maxTime  = 4 * time.Second
		streamed = "HTTP/1.1 200 OK\nId: r1\nSeal: s\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n"
		framed   = "HTTP/1.1 200 OK\nId: r1\nSeal: s\nTransfer-Encoding: chunked\n\n"
	)
	chunk := "400\r\n" + strings.Repeat("x", 1024) + "\r\n"
	for name, test := range map[string]struct {
		path        string
		start, then string
		limit       int64
	}{
		"before the status line":             {"/safe/a", "", strings.Repeat("x", 1024), maxHead},
		"blank lines before the status line": {"/safe/a", "", "\r\n", maxHead},
		"within the status line":             {"/safe/a", "HTTP/1.1 200 ", strings.Repeat("x", 1024), maxHead},
		"fields of the head":                 {"/safe/a", "HTTP/1.1 200 OK\n", "Field: value\r\n", maxHead},
		"one field of the head":              {"/safe/a", "HTTP/1.1 200 OK\nField: ", strings.Repeat("x", 1024), maxHead},
		"the head, for a request that runs once": {
			"/once/a", "HTTP/1.1 200 OK\n", "Field: value\r\n", maxHead,
		},
		"provisional responses":                 {"/safe/a", "", "HTTP/1.1 102 Processing\r\n\r\n", maxHead},
		"a body":                                {"/safe/a", framed, chunk, maxBody},
		"a body, for a request that runs once":  {"/once/a", framed, chunk, maxBody},
		"a body without a length":               {"/safe/a", "HTTP/1.1 200 OK\nId: r1\nSeal: s\n\n", chunk, maxBody},
		"the length of a chunk":                 {"/safe/a", framed, "0", maxHead},
		"the extension of a chunk":              {"/safe/a", framed + "5;", "x", maxHead},
		"the trailer":                           {"/safe/a", framed + "0\n", "Field: value\r\n", maxHead},
		"the body of a failure":                 {"/safe/a", "HTTP/1.1 500 Failed\nId: r1\nSeal: s\nTransfer-Encoding: chunked\n\n", chunk, maxBody},
		"the body of a refusal":                 {"/safe/a", "HTTP/1.1 503 Full\nNot-Run: 1\nTransfer-Encoding: chunked\n\n", chunk, maxHead},
		"the body of an answer to another":      {"/safe/a", "HTTP/1.1 200 OK\nId: other\nSeal: s\nTransfer-Encoding: chunked\n\n", chunk, maxHead},
		"the first event":                       {"/stream/a", streamed, chunk, 4 << 20},
		"comments as events, which are relayed": {"/stream/a", streamed, "4\r\n:\n\n\n\r\n", 2 * maxBody},
		"after a whole answer":                  {"/safe/a", okResponse, strings.Repeat("x", 1024), maxHead},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var written atomic.Int64
			closed := make(chan struct{}, 8)
			server := newFakeServer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
				if tcp, ok := conn.(*net.TCPConn); ok {
					_ = tcp.SetWriteBuffer(16 << 10)
				}
				n := int64(0)
				defer func() {
					written.Store(max(written.Load(), n))
					closed <- struct{}{}
				}()
				if !writeRaw(conn, test.start) {
					return false
				}
				then := []byte(strings.Repeat(test.then, max(1024/len(test.then), 1)))
				_ = conn.SetWriteDeadline(time.Now().Add(2 * maxTime))
				for n+int64(len(then)) <= 2*maxBody {
					size, err := conn.Write(then)
					n += int64(size)
					if err != nil {
						return false
					}
				}
				return false
			})
			w := newTestEnv(t, false, server.address)
			began := time.Now()
			got := w.ask(http.MethodPost, test.path, "x", nil)
			if took := time.Since(began); took > maxTime {
				t.Errorf("answered after %s", took)
			}
			if name != "after a whole answer" && got.err == nil && got.status == http.StatusOK {
				t.Errorf("status 200, %d bytes", len(got.body))
			}
			select {
			case <-closed:
			case <-time.After(maxTime):
				t.Fatal("the entry has not closed the connection")
			}
			if n := written.Load(); n > test.limit {
				t.Errorf("%d bytes were taken, want at most %d", n, test.limit)
			}
		})
	}
}
