package forward

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/coralstair/coralstair/clock"
)

const (
	dialTime = time.Second
	// unackedTime is how long sent bytes may go without an acknowledgement before a connection is given up.
	unackedTime = 1500 * time.Millisecond
	// keepIdle and keepProbe find a server that is cut off while an answer is awaited.
	keepIdle   = time.Second
	keepProbe  = time.Second
	keepProbes = 2
	// idleTime is how long a connection rests unless the server says less; idleMargin is kept from what it says.
	idleTime    = 4 * time.Second
	idleMargin  = 500 * time.Millisecond
	connBuffer  = 2 << 10
	idlePerHost = 64
)

// conn is a connection to a server that knows whether any byte of the latest request has left on it.
type conn struct {
	net.Conn
	opened  time.Time
	written atomic.Int64
	mu      sync.Mutex
	rest    time.Duration
	timer   *time.Timer
	uses    int
}

// Write counts what leaves.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// Close ends the connection. While a request is on it, what has not left yet is dropped: a request that was given up
// must not reach its server when a cut link heals.
func (c *conn) Close() error {
	c.mu.Lock()
	busy := c.uses > 0
	c.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok && busy {
		_ = tcp.SetLinger(0)
	}
	return c.Conn.Close()
}

// begin marks the connection as in use by a request and returns how many bytes had left before.
func (c *conn) begin() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uses++
	if c.timer != nil {
		c.timer.Stop()
	}
	return c.written.Load()
}

// end marks the connection as idle; it closes before the server would close it.
func (c *conn) end(keepAlive time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uses--
	if keepAlive > 0 {
		c.rest = max(keepAlive-idleMargin, keepAlive/2)
	}
	if c.rest == 0 || c.uses > 0 {
		return
	}
	if c.timer == nil {
		c.timer = time.AfterFunc(c.rest, c.expire)
		return
	}
	c.timer.Reset(c.rest)
}

// expire closes a connection that has rested; a request that takes it at the same moment waits, and leaves no byte on it.
func (c *conn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.uses == 0 {
		_ = c.Conn.Close()
	}
}

// newTransport returns the transport to all servers. It never sends a request twice: bodies are set so that net/http
// cannot rewind them.
func newTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout:         dialTime,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepProbe, Count: keepProbes},
		Control:         setUserTimeout,
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			connections.Inc()
			return &conn{Conn: c, opened: clock.Now()}, nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTime,
		ReadBufferSize:      connBuffer,
		WriteBufferSize:     connBuffer,
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	if err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTime.Milliseconds()))
	}); err != nil {
		return err
	}
	return setErr
}
