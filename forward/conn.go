package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/stricthttp"
)

const (
	dialTimeout = time.Second
	// tcpUserTimeout is how long sent data may stay unacknowledged before the connection is closed.
	tcpUserTimeout = 1500 * time.Millisecond
	// Keep-alive probes detect a server that became unreachable while a response is awaited.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// idleTimeout applies unless the server announces a shorter timeout; idleMargin is subtracted from an announced one.
	idleTimeout = 4 * time.Second
	idleMargin  = 500 * time.Millisecond
	// unannouncedIdle is how long a connection may be idle before a request that can't be repeated, unless its server announces a timeout:
	// servers announce whole seconds, so one that announces none may close the connection within a second.
	unannouncedIdle = 500 * time.Millisecond
	connBuffer      = 2 << 10
	// kernelBuffer bounds what the kernel holds of an answer on each side, so that a caller that does not read presses back on the server.
	kernelBuffer   = 64 << 10
	maxIdlePerHost = 64
	// maxResponseHeader bounds, in bytes, the header that is held of a response, since a server in trouble may send one without end.
	maxResponseHeader = 64 << 10
)

// conn is a connection to a server that counts the bytes written, to tell for certain that no byte of a request was or will be sent.
type conn struct {
	net.Conn
	opened time.Time
	mu     sync.Mutex
	// written counts the bytes that were sent or are being sent; nothing is sent once cut is set.
	written   int64
	cut       bool
	idleLimit time.Duration
	timer     *time.Timer
	inUse     int
}

// Write writes b unless the connection was cut. The bytes count from before they are sent, so that cutUnlessWritten cannot miss them.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.cut {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.written += int64(len(b))
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if n < len(b) {
		c.mu.Lock()
		c.written -= int64(len(b) - n)
		c.mu.Unlock()
	}
	return n, err
}

// cutUnlessWritten stops all further writes and reports true, unless bytes were sent or are being sent since the count was before.
func (c *conn) cutUnlessWritten(before int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != before {
		return false
	}
	c.cut = true
	return true
}

// Close closes the connection. During a request it discards unsent data: a cancelled request must not reach its server
// once the network recovers.
func (c *conn) Close() error {
	c.mu.Lock()
	busy := c.inUse > 0
	c.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok && busy {
		_ = tcp.SetLinger(0)
	}
	return c.Conn.Close()
}

// NetConn returns the connection that this one uses.
func (c *conn) NetConn() net.Conn { return c.Conn }

// beginRequest marks the connection as in use and returns the number of bytes written before.
func (c *conn) beginRequest() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inUse++
	if c.timer != nil {
		c.timer.Stop()
	}
	return c.written
}

// endRequest marks the connection as idle and schedules its closing before the server closes it.
func (c *conn) endRequest(keepAlive time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inUse--
	if keepAlive > 0 {
		c.idleLimit = max(keepAlive-idleMargin, keepAlive/2)
	}
	if c.idleLimit == 0 || c.inUse > 0 {
		return
	}
	if c.timer == nil {
		c.timer = time.AfterFunc(c.idleLimit, c.expire)
		return
	}
	c.timer.Reset(c.idleLimit)
}

// discardIfIdle closes the connection, which no request uses yet, if it was idle for long and its server announces no timeout.
func (c *conn) discardIfIdle(idle time.Duration) (discarded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if idle <= unannouncedIdle || c.idleLimit > 0 {
		return false
	}
	c.cutNow()
	return true
}

// discard closes the connection, which no request uses yet.
func (c *conn) discard() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutNow()
}

// cutNow stops all further writes; mu is held.
func (c *conn) cutNow() {
	c.cut = true
	_ = c.Conn.Close()
}

// expire closes a connection that was idle too long. A request that takes it at the same time blocks on mu and sends
// nothing.
func (c *conn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inUse == 0 {
		_ = c.Conn.Close()
	}
}

// connPool names the idle connections to one incarnation of a server: another server may get its address, and a request sent on a
// connection to the previous one is lost. Its zero value stands for all connections to an address.
type connPool struct {
	host    string
	address string
}

// poolCount numbers the pools.
var poolCount atomic.Uint64

// newConnPool returns a pool of its own for connections to an address.
func newConnPool(address string) connPool {
	return connPool{host: fmt.Sprintf("pool-%d", poolCount.Add(1)), address: address}
}

// connPoolKey is the context key of the pool of a request.
type connPoolKey struct{}

// dialAddress returns the address to dial for a request whose URL has the given one: net/http keeps idle connections by the URL's host.
func dialAddress(ctx context.Context, address string) string {
	if pool, ok := ctx.Value(connPoolKey{}).(connPool); ok {
		return pool.address
	}
	return address
}

// newTransport returns a transport to the servers. Requests sent with it must not be sent again by net/http (see attempt.gotConn).
func newTransport() *stricthttp.Transport {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setUserTimeout,
	}
	return stricthttp.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, dialAddress(ctx, address))
			if err != nil {
				return nil, err
			}
			connections.Inc()
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetReadBuffer(kernelBuffer)
			}
			return &conn{Conn: c, opened: clock.Now()}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		MaxResponseHeaderBytes: maxResponseHeader,
		IdleConnTimeout:        idleTimeout,
		ReadBufferSize:         connBuffer,
		WriteBufferSize:        connBuffer,
	})
}

// serverConn returns the connection to a server that a request got; nil if it is of another transport.
func serverConn(info httptrace.GotConnInfo) *conn {
	strict, ok := info.Conn.(*stricthttp.Conn)
	if !ok {
		return nil
	}
	c, _ := strict.Conn.(*conn)
	return c
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	if err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	}); err != nil {
		return err
	}
	return setErr
}
