package connlimit

import (
	"cmp"
	"container/list"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"golang.org/x/sys/unix"
)

// Defaults of RequestLimits.
const (
	DefaultHeaderBytes = 64 << 10
	DefaultHeaderTime  = 5 * time.Second
	DefaultIdleTime    = time.Minute
)

const (
	// requestTime bounds the arrival of a request, with its body, or of a message on an upgraded connection.
	requestTime = 2 * time.Minute
	// stallTime is how long a request may be unfinished, or a response unread, before its connection is closed in favour of another.
	stallTime     = time.Second
	sweepInterval = time.Second
)

// RequestLimits bound a client's request. A field of 0 takes its default.
type RequestLimits struct {
	// HeaderBytes is the longest header, in bytes.
	HeaderBytes int
	// HeaderTime is how long a header may take, IdleTime how long a connection may be open without a request.
	HeaderTime, IdleTime time.Duration
}

// Options configure a Listener.
type Options struct {
	// Name names the listener in logs and metrics.
	Name   string
	Log    log.Interface
	Limits Limits
	// Request returns the limits of requests that are in force, which may change at any time; nil means the defaults.
	Request func() RequestLimits
}

// Listener accepts connections and keeps them to the limits. The server that serves it must have been passed to Apply.
type Listener struct {
	net.Listener
	opts      Options
	metrics   listenerMetrics
	createdAt time.Time

	mu sync.Mutex
	// conns are the open connections. unfinished holds those with an unfinished request or message, idle those between requests, the
	// oldest first.
	conns            map[*Conn]struct{}
	unfinished, idle list.List
	// counted is the memory of unfinished requests and of those that are served.
	counted int64
	sweeper *time.Timer
	// dropped are connections to be closed once mu is released, since closing waits for those that read.
	dropped []net.Conn
	// closed counts the connections that were closed or refused since the last sweep.
	closed map[reason]int
}

// NewListener returns a listener that accepts the connections of another one.
func NewListener(inner net.Listener, opts Options) *Listener {
	opts.Limits = opts.Limits.withDefaults()
	if opts.Log == nil {
		opts.Log = &log.Logger{Handler: discard.Default}
	}
	limitReceiveBuffer(inner)
	return &Listener{
		Listener: inner, opts: opts, metrics: newListenerMetrics(opts.Name), createdAt: time.Now(),
		conns: make(map[*Conn]struct{}), closed: make(map[reason]int),
	}
}

// limitReceiveBuffer bounds what the kernel holds for each connection of a listener, also before it is accepted.
func limitReceiveBuffer(listener net.Listener) {
	tcp, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer) })
}

// Accept returns the next connection. It closes those for which there is no room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.add(inner); conn != nil {
			return conn, nil
		}
		_ = inner.Close()
	}
}

// Held returns the number of open connections and the memory that is counted for their requests, in bytes.
func (l *Listener) Held() (connections int, requestBytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns), l.counted
}

// add registers a connection; it returns nil if there is no room for it.
func (l *Listener) add(inner net.Conn) *Conn {
	l.mu.Lock()
	defer l.unlock()
	if len(l.conns) >= l.opts.Limits.Connections && !l.evictForConnection() {
		l.metrics.refused.Inc()
		l.closed[refused]++
		return nil
	}
	c := &Conn{Conn: inner, listener: l}
	l.conns[c] = struct{}{}
	c.setState(stateHeader)
	l.metrics.open.Inc()
	if l.sweeper == nil {
		l.sweeper = time.AfterFunc(sweepInterval, l.sweep)
	}
	return c
}

// evictForConnection closes a connection in favour of a new one; it returns false if all are in use. The caller holds mu.
func (l *Listener) evictForConnection() bool {
	now := time.Now()
	c := front(&l.unfinished)
	if c == nil || now.Sub(c.since) < stallTime {
		// Usual requests arrive whole within stallTime, so one that has just begun is closed last.
		c = cmp.Or(front(&l.idle), l.stalledWriter(now), c)
	}
	if c == nil {
		return false
	}
	c.drop(connectionsFull)
	return true
}

// evictForMemory makes sure that n more bytes may be counted for the request of a connection: it closes other connections whose requests have
// been unfinished for longer. It returns false if that is not enough. The caller holds mu.
func (l *Listener) evictForMemory(n int64, c *Conn) bool {
	for e := l.unfinished.Front(); l.counted+n > l.opts.Limits.RequestBytes; {
		if e == nil || e.Value == any(c) {
			return false
		}
		older := connOf(e)
		e = e.Next()
		if older.counted > 0 {
			older.drop(memoryFull)
		}
	}
	return true
}

// stalledWriter returns the connection whose client has kept a Write waiting for the longest time; nil if none has for stallTime. The
// caller holds mu.
func (l *Listener) stalledWriter(now time.Time) *Conn {
	var stalled *Conn
	first := int64(now.Add(-stallTime).Sub(l.createdAt))
	for c := range l.conns {
		if since := c.writingSince.Load(); since != 0 && since < first {
			stalled, first = c, since
		}
	}
	return stalled
}

// sweep closes connections whose time is over, and runs again while there are connections.
func (l *Listener) sweep() {
	limits, now := l.requestLimits(), time.Now()
	l.mu.Lock()
	defer l.unlock()
	for e := l.unfinished.Front(); e != nil; {
		c := connOf(e)
		e = e.Next()
		age := now.Sub(c.since)
		switch {
		case c.state != stateBody && age >= limits.HeaderTime:
			c.drop(headerTooSlow)
		case age >= requestTime:
			c.drop(requestTooSlow)
		}
	}
	for c := front(&l.idle); c != nil && now.Sub(c.since) >= limits.IdleTime; c = front(&l.idle) {
		c.drop(idleTooLong)
	}
	l.logClosed()
	if len(l.conns) > 0 {
		l.sweeper.Reset(sweepInterval)
		return
	}
	l.sweeper = nil
}

// unlock releases mu and closes the connections that were dropped meanwhile.
func (l *Listener) unlock() {
	dropped := l.dropped
	l.dropped = nil
	l.mu.Unlock()
	for _, c := range dropped {
		_ = c.Close()
	}
}

// logClosed logs how many connections were closed since the last sweep, but for idle ones. The caller holds mu.
func (l *Listener) logClosed() {
	delete(l.closed, idleTooLong)
	if len(l.closed) == 0 {
		return
	}
	l.opts.Log.WithFields(log.Fields{"listener": l.opts.Name, "closed": l.closed, "open": len(l.conns)}).Warn("connlimit: connections closed")
	l.closed = make(map[reason]int)
}

// requestLimits returns the limits of requests that are in force.
func (l *Listener) requestLimits() RequestLimits {
	var limits RequestLimits
	if l.opts.Request != nil {
		limits = l.opts.Request()
	}
	return RequestLimits{
		HeaderBytes: cmp.Or(limits.HeaderBytes, DefaultHeaderBytes), HeaderTime: cmp.Or(limits.HeaderTime, DefaultHeaderTime),
		IdleTime: cmp.Or(limits.IdleTime, DefaultIdleTime),
	}
}

// queueOf returns the queue of the connections in a state; nil if there is none.
func (l *Listener) queueOf(s state) *list.List {
	switch {
	case s.unfinished():
		return &l.unfinished
	case s == stateIdle:
		return &l.idle
	default:
		return nil
	}
}

// front returns the first connection of a queue; nil if it is empty.
func front(queue *list.List) *Conn {
	if e := queue.Front(); e != nil {
		return connOf(e)
	}
	return nil
}

func connOf(e *list.Element) *Conn {
	c, _ := e.Value.(*Conn)
	return c
}
