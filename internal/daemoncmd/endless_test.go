package daemoncmd

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coralstair/coralstair/fill"
	"github.com/coralstair/coralstair/platform"
	"github.com/coralstair/coralstair/upstream"
)

// calls are those of a daemon to servers and origins, but for the requests of callers.
var calls = map[string]func(ctx context.Context, address string) error{
	"state": func(ctx context.Context, address string) error {
		_, err := platform.NewEngine(address, newClient()).State(ctx)
		return err
	},
	"staged pieces": func(ctx context.Context, address string) error {
		_, err := platform.NewEngine(address, newClient()).StagedPieces(ctx, "m")
		return err
	},
	"read a piece": func(ctx context.Context, address string) error {
		_, err := platform.NewEngine(address, newClient()).ReadPiece(ctx, "m", 1)
		return err
	},
	"order": func(ctx context.Context, address string) error {
		return platform.NewEngine(address, newClient()).StartLoad(ctx, fill.Order{Model: "m", Version: 2})
	},
	"manifest": func(ctx context.Context, address string) error {
		_, err := platform.NewOrigin(newOriginClient()).Manifest(ctx, address, "m", 2)
		return err
	},
	"piece": func(ctx context.Context, address string) error {
		_, err := platform.NewOrigin(newOriginClient()).Piece(ctx, address, "m", 2, 1)
		return err
	},
	"state, on the product's own path": func(ctx context.Context, address string) error {
		_, err := (&upstream.Client{URL: "http://" + address}).State(ctx)
		return err
	},
}

// serveEndless answers each request with a start and then bytes without end until the caller closes; closed gets the number of bytes sent.
func serveEndless(t *testing.T, start, then string, most int64) (address string, closed chan int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	closed = make(chan int64, 8)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = conn.Write([]byte(strings.ReplaceAll(start, "\n", "\r\n")))
				block, sent := []byte(strings.Repeat(then, max(1024/len(then), 1))), int64(0)
				for sent < most {
					n, err := conn.Write(block)
					if sent += int64(n); err != nil {
						break
					}
				}
				closed <- sent
			}()
		}
	}()
	return listener.Addr().String(), closed
}

// TestBytesWithoutEndAreCutOff guards against a server or an origin in trouble whose bytes, which are no answer, fill the memory of a box:
// they come without end, in a head or a body, until the box closes.
func TestBytesWithoutEndAreCutOff(t *testing.T) {
	const (
		// maxHead and maxBody bound the bytes that are taken, those in buffers of the kernel included: a piece has up to 16 MiB.
		maxHead, maxBody = 8 << 20, 32 << 20
		timeout          = 5 * time.Second
		ok               = "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n"
	)
	chunk := "3fa\r\n" + strings.Repeat("x", 0x3fa) + "\r\n"
	responses := map[string]struct {
		start, then string
		limit       int64
	}{
		"status line": {"HTTP/1.1 200 ", "x", maxHead},
		"head":        {"HTTP/1.1 200 OK\n", "Field: value\r\n", maxHead},
		"provisional": {"", "HTTP/1.1 102 Processing\r\n\r\n", maxHead},
		"body":        {ok, chunk, maxBody},
		"failure":     {"HTTP/1.1 500 Failed\nTransfer-Encoding: chunked\n\n", chunk, maxBody},
		"no length":   {"HTTP/1.1 200 OK\n\n", "x", maxBody},
	}
	for call, do := range calls {
		for kind, response := range responses {
			t.Run(call+", "+kind, func(t *testing.T) {
				t.Parallel()
				address, closed := serveEndless(t, response.start, response.then, 4*maxBody)
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				var failed atomic.Bool
				failed.Store(do(ctx, address) != nil)
				select {
				case sent := <-closed:
					if sent > response.limit {
						t.Errorf("%d bytes were taken, want at most %d", sent, response.limit)
					}
				case <-time.After(timeout):
					t.Error("the connection is still open")
				}
				if !failed.Load() && !strings.HasPrefix(response.start, "HTTP/1.1 200 OK") {
					t.Error("taken for an answer")
				}
			})
		}
	}
}
