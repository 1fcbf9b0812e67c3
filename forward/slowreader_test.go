package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/coralstair/coralstair/connlimit"
	"github.com/coralstair/coralstair/contract"
)

// longStream streams events of a kilobyte until the connection breaks or total events are sent, and closes when a write blocks for too long,
// as servers do with answers that are not read.
func longStream(total int, patience time.Duration, cut chan<- int) responder {
	return func(conn net.Conn, _ int, r *http.Request) bool {
		writeRaw(conn, "HTTP/1.1 200 OK\nId: "+r.Header.Get("Id")+"\nSeal: s\nContent-Type: text/event-stream\nConnection: close\n\n")
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(kernelBuffer)
		}
		data := strings.Repeat("x", 1000)
		for n := 1; n <= total; n++ {
			_ = conn.SetWriteDeadline(time.Now().Add(patience))
			if _, err := fmt.Fprintf(conn, "id: %d\ndata: %s\n\n", n, data); err != nil {
				cut <- n
				return reset(conn)
			}
		}
		cut <- total
		return false
	}
}

// askWithoutReading sends a request and reads nothing but the status line.
func (w *testEnv) askWithoutReading(path, id string) net.Conn {
	w.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
	if err != nil {
		w.t.Fatal(err)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(4 << 10)
	}
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nWait: 2500\r\nContent-Length: 1\r\n\r\nx", path, id)
	w.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// TestSlowReadersHoldLittle checks that callers who do not read press back on the server, hold little memory, do not hinder others, and get
// an honest broken stream when the server gives up.
func TestSlowReadersHoldLittle(t *testing.T) {
	const readers, events = 60, 4000
	cut := make(chan int, readers)
	server := newFakeServer(t, longStream(events, 500*time.Millisecond, cut))
	plain := newFakeServer(t, respondOK)
	w := newTestEnv(t, false, server.address)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	conns := make([]net.Conn, readers)
	for i := range conns {
		conns[i] = w.askWithoutReading("/stream/once/", fmt.Sprint("slow", i))
	}
	for range readers {
		if n := <-cut; n == events {
			t.Fatal("a server could send all events to a caller that read none")
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if perReader := (int64(after.HeapInuse) - int64(before.HeapInuse)) / readers; perReader > 256<<10 {
		t.Errorf("%d kB are held for a caller that does not read", perReader>>10)
	}
	other := newTestEnv(t, false, plain.address)
	if got := other.ask(http.MethodPost, "/once/", "x", nil); got.status != http.StatusOK {
		t.Errorf("another caller got %d", got.status)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conns[0]), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err == nil {
		t.Error("a stream that its server cut off seems complete")
	}
}

// TestUnreadAnswersEnd checks that an entry gives up a caller that never reads some time after the request's time is over.
func TestUnreadAnswersEnd(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for unreadTimeout")
	}
	t.Parallel()
	cut := make(chan int, 1)
	server := newFakeServer(t, longStream(20000, time.Hour, cut))
	w := newTestEnv(t, false, server.address)
	w.askWithoutReading("/stream/once/", "slow")
	for deadline := time.Now().Add(3*time.Second + 2*unreadTimeout); ; time.Sleep(50 * time.Millisecond) {
		w.entry.calls.mu.Lock()
		left := len(w.entry.calls.all)
		w.entry.calls.mu.Unlock()
		select {
		case <-cut:
			if left == 0 {
				return
			}
			cut <- 0
		default:
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d requests are still in progress", left)
		}
	}
}

// TestHeldBytesAreBounded checks that bodies beyond the bound are refused and that the bound is free again afterwards.
func TestHeldBytesAreBounded(t *testing.T) {
	server := newFakeServer(t, respondOK)
	w := newLimitedTestEnv(t, newTestSource(false, server.address), connlimit.Limits{RequestBytes: 100 << 10})
	if got := w.ask(http.MethodPost, "/safe/", strings.Repeat("x", 200<<10), nil); got.status != http.StatusServiceUnavailable || server.arrivals() != 0 {
		t.Errorf("a body beyond the bound got %d and %d sends", got.status, server.arrivals())
	}
	if got := w.ask(http.MethodPost, "/safe/", strings.Repeat("x", 90<<10), nil); got.status != http.StatusOK {
		t.Errorf("a body within the bound got %d", got.status)
	}
	if used := w.entry.responses.used.Load(); used != 0 {
		t.Errorf("%d bytes of responses are still held", used)
	}
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if _, used := w.listener.Held(); used == 0 {
			return
		} else if time.Now().After(deadline) {
			t.Fatalf("%d bytes of requests are still held", used)
		}
	}
}

// TestBodyThatDoesNotCome checks that a request whose body does not come is refused as not run when its time is over.
func TestBodyThatDoesNotCome(t *testing.T) {
	server := newFakeServer(t, respondOK)
	w := newTestEnv(t, false, server.address)
	for name, body := range map[string]string{
		"length": "Content-Length: 10\r\n\r\nx",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "POST /short/ HTTP/1.1\r\nHost: h\r\nId: late\r\n"+body)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			if resp.StatusCode != http.StatusRequestTimeout || !resp.Close || server.arrivals() != 0 {
				t.Errorf("got %d, closed %v, and %d sends", resp.StatusCode, resp.Close, server.arrivals())
			}
		})
	}
}

// TestHeaderLimitOfTheConfiguration checks that the server which reads a header knows the limit in force.
func TestHeaderLimitOfTheConfiguration(t *testing.T) {
	server := newFakeServer(t, respondOK)
	for name, test := range map[string]struct {
		limit, header, want int
	}{
		"within a low limit":  {16 << 10, 15 << 10, http.StatusOK},
		"beyond a low limit":  {16 << 10, 18 << 10, http.StatusRequestHeaderFieldsTooLarge},
		"far beyond":          {16 << 10, 60 << 10, http.StatusRequestHeaderFieldsTooLarge},
		"within a high limit": {256 << 10, 200 << 10, http.StatusOK},
		"beyond a high limit": {256 << 10, 300 << 10, http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			source := newTestSource(false, server.address)
			cfg, ok := source.declared.Config.WithChange(contract.ConfigChange{Base: 1, Revision: 2, Limits: contract.Limits{HeaderBytes: test.limit}})
			if !ok {
				t.Fatal("the limit cannot be changed")
			}
			source.declared.Config = cfg
			w := newTestEnvFrom(t, source)
			got := w.ask(http.MethodPost, "/safe/", "x", map[string]string{"Long": strings.Repeat("x", test.header)})
			if got.status != test.want {
				t.Errorf("got %d (%v), want %d", got.status, got.err, test.want)
			}
		})
	}
}
