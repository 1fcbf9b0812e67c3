package connlimit

import (
	"bytes"
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// headerSlack is how much may be read at once beyond the end of a header.
	headerSlack = 4 << 10
	// lingerTime is how long a client may go on sending after its header was refused: closed earlier, it might not get the refusal.
	lingerTime = 500 * time.Millisecond
)

// headerRefusal is what net/http answers to a header that is too long.
const headerRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n" +
	"431 Request Header Fields Too Large"

// state says what a connection waits for.
type state int

const (
	// stateHeader waits for the rest of a header, stateBody for the rest of a request or message, stateGreeting for the rest of the first
	// message on an upgraded connection.
	stateHeader state = iota
	stateBody
	stateGreeting
	// stateServing has a whole request, or is upgraded and between messages.
	stateServing
	// stateIdle is between requests.
	stateIdle
	stateClosed
)

// unfinished reports whether a request or message has not arrived whole.
func (s state) unfinished() bool { return s <= stateGreeting }

// Conn is an accepted connection. Begin, Received and FromContext work on a nil Conn, which has no limits.
type Conn struct {
	net.Conn
	listener *Listener
	// writingSince is when the Write in progress began, in nanoseconds since the listener was created, and 1; 0 while there is none.
	writingSince  atomic.Int64
	headerRefused atomic.Bool

	// What follows is guarded by the listener's mutex. since is when the unfinished request, or otherwise the state, began.
	state   state
	since   time.Time
	queue   *list.List
	element *list.Element
	// stopped is the reason why nothing more is read.
	stopped reason
	// headerBytes is the length of the header as far as it has arrived, held the memory of the request, counted the part of it that the
	// listener counts.
	headerBytes   int
	held, counted int64
	// upgraded and multiplexed connections carry messages, or several requests at a time, instead of one request after another.
	upgraded, multiplexed bool
}

type connKey struct{}

// FromContext returns the connection of a request; nil if its listener has no limits.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Begin records that a message on an upgraded connection has begun to arrive.
func (c *Conn) Begin() {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.state == stateServing {
		c.setState(stateBody)
	}
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	c.remove()
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// Read reads from the connection. The error may wrap a *ClosedError.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	stopped := c.count(p[:n])
	if stopped == "" {
		return n, err
	}
	if stopped == headerTooLong && c.headerRefused.CompareAndSwap(false, true) {
		c.refuseHeader()
	}
	// net/http does not answer after an error of a read.
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: &ClosedError{Reason: string(stopped)}}
}

// Received records that the request, or the message on an upgraded connection, has arrived whole: the connection is not closed in favour
// of others any more. It returns false if the connection has been closed; the request must not be served then.
func (c *Conn) Received() bool {
	if c == nil {
		return true
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.state == stateClosed {
		return false
	}
	if c.upgraded {
		c.release()
	}
	c.setState(stateServing)
	return true
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writingSince.Store(int64(time.Since(c.listener.createdAt)) + 1)
	defer c.writingSince.Store(0)
	return c.Conn.Write(p)
}

// count counts bytes that were read, and returns why the connection is closed or reads no more; empty if it may go on.
func (c *Conn) count(p []byte) reason {
	l := c.listener
	l.mu.Lock()
	defer l.unlock()
	if c.stopped != "" || len(p) == 0 {
		return c.stopped
	}
	if c.state == stateIdle && !c.multiplexed {
		c.setState(stateHeader)
	}
	if !c.state.unfinished() {
		return ""
	}
	c.held += int64(len(p))
	if c.state == stateHeader {
		c.headerBytes += len(p)
		c.held += int64(bytes.Count(p, []byte{'\n'})) * lineBytes
		if c.headerBytes > headerSlack && c.headerBytes > l.requestLimits().HeaderBytes+headerSlack {
			c.stop(headerTooLong)
			return c.stopped
		}
	}
	if more := c.held - includedBytes - c.counted; more > 0 {
		if !l.evictForMemory(more, c) {
			c.stop(memoryFull)
			return c.stopped
		}
		c.counted += more
		l.counted += more
	}
	return ""
}

// drop closes the connection for a reason as soon as the listener's unlock releases the mutex, which the caller holds.
func (c *Conn) drop(why reason) {
	c.stop(why)
	c.remove()
	c.listener.dropped = append(c.listener.dropped, c.Conn)
}

// refuseHeader tells the client that its header is too long, and reads what it still sends for a limited time.
func (c *Conn) refuseHeader() {
	deadline := time.Now().Add(lingerTime)
	_ = c.Conn.SetDeadline(deadline)
	_, _ = io.WriteString(c.Conn, headerRefusal)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, c.Conn)
}

// release ends the request's account. The caller holds the mutex.
func (c *Conn) release() {
	c.listener.counted -= c.counted
	c.headerBytes, c.held, c.counted = 0, 0, 0
}

// remove removes the connection from the listener's. The caller holds the mutex.
func (c *Conn) remove() {
	if c.state == stateClosed {
		return
	}
	c.release()
	c.setState(stateClosed)
	delete(c.listener.conns, c)
	c.listener.metrics.open.Dec()
}

// setHTTPState follows the state of the connection at its HTTP server.
func (c *Conn) setHTTPState(next http.ConnState) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	switch {
	case c.state == stateClosed:
	case next == http.StateActive && (c.state == stateHeader || c.state == stateIdle):
		c.setState(stateBody)
	case next == http.StateIdle:
		c.release()
		c.setState(stateIdle)
	case next == http.StateHijacked:
		c.upgraded = true
		c.release()
		c.setState(stateGreeting)
	}
}

// setState changes the state. The caller holds the mutex.
func (c *Conn) setState(next state) {
	queue := c.listener.queueOf(next)
	c.state = next
	if queue != nil && queue == c.queue {
		// The request goes on.
		return
	}
	if c.queue != nil {
		c.queue.Remove(c.element)
	}
	if c.queue, c.element = queue, nil; queue != nil {
		c.element = queue.PushBack(c)
	}
	c.since = time.Now()
}

// stop lets the connection read no more. The caller holds the mutex.
func (c *Conn) stop(why reason) {
	c.stopped = why
	c.listener.metrics.closed.Inc()
	c.listener.closed[why]++
}
