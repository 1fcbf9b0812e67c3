package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
)

// lengthWire is testWire with the answer's token limit.
type lengthWire struct{ testWire }

func (w lengthWire) ParseRequest(r *http.Request) RequestInfo {
	info := w.testWire.ParseRequest(r)
	info.MaxAnswerTokens, _ = strconv.Atoi(r.Header.Get("Most"))
	return info
}

// leavingEnv is an entry that is going to leave, served at a listener of its own.
type leavingEnv struct {
	*testEnv
	lines *logRecorder
	ready string
	left  chan time.Time
	stop  context.CancelFunc
}

// newLeavingEnv returns an entry in front of servers of a service; idle is the callers' idle timeout, grace the time limit of a
// planned stop.
func newLeavingEnv(t *testing.T, service contract.Service, idle, grace time.Duration, addresses ...string) *leavingEnv {
	t.Helper()
	service.Name, service.MaxConns = "s", 100
	routes := make([]contract.Route, len(testRoutes))
	for i, route := range testRoutes {
		route.Split = []contract.Share{{Service: "s", Weight: 1}}
		routes[i] = route
	}
	limits := contract.Limits{HeaderBytes: 4096, BodyBytes: 1 << 20, IdleTime: idle}
	cfg := contract.NewConfig(1, limits, routes, []contract.Service{service}, nil)
	source := fixedSource{declared: discovery.Declared{Config: cfg}}
	for i, address := range addresses {
		source.servers.Present = append(source.servers.Present, contract.Server{
			ID: serverName(i), Service: "s", Address: address, Slots: 8, Loaded: map[string]contract.Version{testModel: 1},
		})
	}
	w := &leavingEnv{testEnv: newTestEnvFrom(t, source), lines: &logRecorder{}, left: make(chan time.Time, 1)}
	w.entry.log = &log.Logger{Handler: w.lines, Level: log.InfoLevel}
	w.entry.cfg.Wire = lengthWire{}
	w.entry.cfg.Machine.Bounds.Grace = grace
	for i := range addresses {
		w.reportClosing(i, false)
	}
	w.url = w.serve(w.entry.callers)
	w.ready = w.serve(w.entry.ready)
	return w
}

// serve runs one of the entry's HTTP servers and returns its address.
func (w *leavingEnv) serve(server *http.Server) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	go func() { _ = serve(w.t.Context(), server, listener) }()
	return listener.Addr().String()
}

// startLeave starts the leave and waits until it has begun.
func (w *leavingEnv) startLeave() {
	ctx, cancel := context.WithCancel(w.t.Context())
	w.stop = cancel
	w.t.Cleanup(cancel)
	go func() {
		w.entry.Leave(ctx)
		w.left <- time.Now()
	}()
	for deadline := time.Now().Add(time.Second); !w.entry.leaving.Load() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
}

// awaitLeft waits until the entry has left and returns when that was.
func (w *leavingEnv) awaitLeft() time.Time {
	w.t.Helper()
	select {
	case at := <-w.left:
		return at
	case <-time.After(6 * time.Second):
		w.t.Fatal("entry does not stop")
		return time.Time{}
	}
}

// line returns the latest log line with a message; nil if there is none.
func (w *leavingEnv) line(message string) *log.Entry { return w.lines.of(message) }

// logRecorder keeps the latest log line for each message.
type logRecorder struct {
	mu     sync.Mutex
	latest map[string]*log.Entry
}

// of returns the latest line with a message; nil if there is none.
func (l *logRecorder) of(message string) *log.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latest[message]
}

// HandleLog implements log.Handler.
func (l *logRecorder) HandleLog(line *log.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.latest == nil {
		l.latest = make(map[string]*log.Entry)
	}
	l.latest[line.Message] = line
	return nil
}

// clientConn is a keep-alive connection of a caller, on which nothing is resent.
type clientConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (w *leavingEnv) connect() (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", w.url, time.Second)
	if err != nil {
		return nil, err
	}
	w.t.Cleanup(func() { _ = conn.Close() })
	return &clientConn{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (w *leavingEnv) mustConnect() *clientConn {
	w.t.Helper()
	c, err := w.connect()
	if err != nil {
		w.t.Fatal(err)
	}
	return c
}

// ask sends a request on the connection and reads the response.
func (c *clientConn) ask(path, header string) result {
	if err := c.send(path, header); err != nil {
		return result{err: err}
	}
	return c.read()
}

func (c *clientConn) send(path, header string) error {
	_, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: h\r\nId: r1\r\n%s\r\n", path, header)
	return err
}

func (c *clientConn) read() result {
	_ = c.conn.SetReadDeadline(time.Now().Add(6 * time.Second))
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, header: resp.Header, body: string(got), closes: resp.Close, err: err}
}

// checkLastResponse checks for a complete response that closes its connection.
func checkLastResponse(t *testing.T, got result) {
	t.Helper()
	if got.err != nil || got.status != http.StatusOK || got.body != "hello" {
		t.Errorf("status %d, body %q, %v; want a complete answer", got.status, got.body, got.err)
	}
	if got.err == nil && !got.closes {
		t.Error("response does not close the connection")
	}
}

// withDelay calls a responder after a pause.
func withDelay(pause time.Duration, answer responder) responder {
	return func(conn net.Conn, n int, r *http.Request) bool {
		time.Sleep(pause)
		return answer(conn, n, r)
	}
}
