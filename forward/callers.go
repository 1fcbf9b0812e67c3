package forward

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coralstair/coralstair/clock"
)

// activeRequest is a caller's request in progress.
type activeRequest struct {
	id, route string
	started   time.Time
}

// callerConn is the state of a caller's connection. closing is set once the entry has begun to close it.
type callerConn struct {
	state   http.ConnState
	since   time.Time
	closing bool
}

// reusable reports whether the caller may still send a request on the connection, given how long callers reuse an
// idle one.
func (c *callerConn) reusable(now time.Time, reuseTime time.Duration) bool {
	return c.state != http.StateActive && now.Sub(c.since) < reuseTime
}

// callerConns tracks the callers' connections and the requests in progress.
type callerConns struct {
	mu      sync.Mutex
	conns   map[net.Conn]*callerConn
	running map[*activeRequest]struct{}
	// lastActivity is when a connection or a request last arrived.
	lastActivity time.Time
}

// setState records a connection's new state. If a request header was read while closing had begun, the closing is
// undone and the request is served.
func (c *callerConns) setState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.conns, conn)
		return
	}
	known := c.conns[conn]
	if known == nil {
		if c.conns == nil {
			c.conns = make(map[net.Conn]*callerConn)
		}
		known = &callerConn{}
		c.conns[conn] = known
	}
	if known.closing {
		known.closing = false
		_ = conn.SetReadDeadline(time.Time{})
	}
	known.state, known.since = state, clock.Now()
	if state != http.StateIdle {
		c.lastActivity = known.since
	}
}

// addRequest registers a request in progress until removeRequest.
func (c *callerConns) addRequest(r *activeRequest) *activeRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == nil {
		c.running = make(map[*activeRequest]struct{})
	}
	c.running[r] = struct{}{}
	return r
}

func (c *callerConns) removeRequest(r *activeRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, r)
}

func (c *callerConns) inProgress() []activeRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]activeRequest, 0, len(c.running))
	for r := range c.running {
		all = append(all, *r)
	}
	return all
}

// drained reports whether no request is in progress, none arrived lately, and every connection has been idle for
// longer than callers reuse one.
func (c *callerConns) drained(now time.Time, reuseTime time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		if conn.state == http.StateActive || conn.reusable(now, reuseTime) {
			return false
		}
	}
	return now.Sub(c.lastActivity) >= quietPeriod
}

// reusable counts the connections without a request on which one may still arrive.
func (c *callerConns) reusable(now time.Time, reuseTime time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, conn := range c.conns {
		if conn.reusable(now, reuseTime) {
			n++
		}
	}
	return n
}

// closeIdle begins to close all idle connections and reports whether none is left. An expired read deadline does
// that: a request whose header was already read is still served, any other is dropped with its connection and runs
// nowhere.
func (c *callerConns) closeIdle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, known := range c.conns {
		if known.state == http.StateIdle || known.state == http.StateNew && now.Sub(known.since) >= quietPeriod {
			known.closing = true
			_ = conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
	return len(c.conns) == 0
}
