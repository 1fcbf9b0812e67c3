package forward

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coralstair/coralstair/clock"
)

// running is a request in progress.
type running struct {
	id, route string
	started   time.Time
}

// callerConn is what is known of a connection: its state and since when, and whether its closing was begun while it rested.
type callerConn struct {
	state  http.ConnState
	since  time.Time
	closes bool
}

// kept reports whether a request may come on the connection, by its rest.
func (c *callerConn) kept(now time.Time, rest time.Duration) bool {
	return c.state != http.StateActive && now.Sub(c.since) < rest
}

// callerConns knows the callers' connections and the requests in progress.
type callerConns struct {
	mu      sync.Mutex
	conns   map[net.Conn]*callerConn
	running map[*running]struct{}
	// came is when a connection or a request came last.
	came time.Time
}

// note takes a connection's new state. A request whose head was read while its connection began to close is served.
func (c *callerConns) note(conn net.Conn, state http.ConnState) {
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
	if known.closes {
		known.closes = false
		_ = conn.SetReadDeadline(time.Time{})
	}
	known.state, known.since = state, clock.Now()
	if state != http.StateIdle {
		c.came = known.since
	}
}

// begin notes a request in progress until end.
func (c *callerConns) begin(r *running) *running {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == nil {
		c.running = make(map[*running]struct{})
	}
	c.running[r] = struct{}{}
	return r
}

func (c *callerConns) end(r *running) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, r)
}

// inProgress returns the requests in progress.
func (c *callerConns) inProgress() []running {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]running, 0, len(c.running))
	for r := range c.running {
		all = append(all, *r)
	}
	return all
}

// settled reports whether nothing is in progress, nothing came lately, and each connection has rested for so long that nothing
// comes on it any more.
func (c *callerConns) settled(now time.Time, rest time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		if conn.state == http.StateActive || conn.kept(now, rest) {
			return false
		}
	}
	return now.Sub(c.came) >= quietTime
}

// kept counts the connections without a request on which one may come.
func (c *callerConns) kept(now time.Time, rest time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, conn := range c.conns {
		if conn.kept(now, rest) {
			n++
		}
	}
	return n
}

// closeResting has each connection that rests closed, and reports whether none is left. Each gets a read deadline that is over:
// a request whose head was read before is served, and of any other its connection closes without it, so that it runs nowhere.
func (c *callerConns) closeResting(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, known := range c.conns {
		if known.state == http.StateIdle || known.state == http.StateNew && now.Sub(known.since) >= quietTime {
			known.closes = true
			_ = conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
	return len(c.conns) == 0
}
