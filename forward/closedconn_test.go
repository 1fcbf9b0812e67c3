package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/coralstair/coralstair/connlimit"
)

// gatedWire is a testWire that blocks once until it may go on.
type gatedWire struct {
	testWire
	reached, open chan struct{}
}

func (w gatedWire) ParseRequest(r *http.Request) RequestInfo {
	w.reached <- struct{}{}
	<-w.open
	return w.testWire.ParseRequest(r)
}

// slowlyClosedListener accepts connections whose Close says that it has begun, and waits until it may go on.
type slowlyClosedListener struct {
	net.Listener
	closing, open chan struct{}
}

func (l slowlyClosedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowlyClosedConn{c, l}, nil
}

type slowlyClosedConn struct {
	net.Conn
	listener slowlyClosedListener
}

func (c slowlyClosedConn) Close() error {
	select {
	case c.listener.closing <- struct{}{}:
	default:
	}
	<-c.listener.open
	return c.Conn.Close()
}

// TestClosedConnectionGetsNoResponse guards against a response that says that a request succeeded, where its connection has been closed in
// favour of another one before the request was served.
func TestClosedConnectionGetsNoResponse(t *testing.T) {
	server := newFakeServer(t, respondOK)
	w := newTestEnv(t, false, server.address)
	wire := gatedWire{reached: make(chan struct{}), open: make(chan struct{})}
	w.entry.cfg.Wire = wire
	callers := httptest.NewUnstartedServer(countPanics(w.entry))
	inner := slowlyClosedListener{Listener: callers.Listener, closing: make(chan struct{}, 1), open: make(chan struct{})}
	listener := connlimit.NewListener(inner, connlimit.Options{Limits: connlimit.Limits{Connections: 1}})
	listener.Apply(callers.Config)
	callers.Listener = listener
	callers.Start()
	defer callers.Close()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", callers.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	conn := dial()
	_, _ = fmt.Fprint(conn, "POST /safe/a HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 5\r\n\r\nhello")
	<-wire.reached
	dial()
	<-inner.closing
	close(wire.open)
	time.AfterFunc(100*time.Millisecond, func() { close(inner.open) })
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if response, _ := io.ReadAll(conn); len(response) > 0 || server.arrivals() > 0 {
		t.Errorf("the response is %q, and the server got %d requests", response, server.arrivals())
	}
}
