package rawhttp

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// readAhead is how long before a Write a Read sees the end of a WriteFirstConn.
const readAhead = 50 * time.Millisecond

// WriteFirstConn is a connection whose reset a Write reports, if one is in progress, so that a Read finds a plain end just before. The kernel
// reports a reset once, to whichever asks first.
type WriteFirstConn struct {
	net.Conn
	writing atomic.Bool
	ended   chan struct{}
	once    sync.Once
}

// NewWriteFirstConn returns a connection that uses another one.
func NewWriteFirstConn(c net.Conn) *WriteFirstConn {
	return &WriteFirstConn{Conn: c, ended: make(chan struct{})}
}

// NetConn returns the connection that this one uses.
func (c *WriteFirstConn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection.
func (c *WriteFirstConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, syscall.ECONNRESET) && c.writing.Load() {
		err = io.EOF
	}
	if err != nil {
		c.once.Do(func() { close(c.ended) })
	}
	return n, err
}

// Write writes to the connection. It returns an error only after Read has returned one.
func (c *WriteFirstConn) Write(p []byte) (int, error) {
	c.writing.Store(true)
	n, err := c.Conn.Write(p)
	if err != nil {
		<-c.ended
		time.Sleep(readAhead)
		return n, err
	}
	c.writing.Store(false)
	return n, nil
}
