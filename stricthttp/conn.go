package stricthttp

import (
	"cmp"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// writeTimeout is how long the end of a connection waits for the rest of the request to be written and acknowledged.
	writeTimeout     = 1500 * time.Millisecond
	acknowledgedPoll = 5 * time.Millisecond
)

// Conn is a client's connection that checks what net/http does not tell of a response. The end of a connection completes a response without
// a length only if the peer has the whole request: the kernel reports a reset once, and if a Write takes it, a Read finds a plain end.
type Conn struct {
	net.Conn

	mu   sync.Mutex
	head headScanner
	// headErr is why the head of the response is invalid; nothing more is read then.
	headErr error
	// requestDone is set once the whole request was handed to Write or waits in the buffer of net/http, wrote once a Write of it has returned,
	// and writing during one.
	requestDone, wrote, writing bool
	writeErr                    error
	// changed is closed when the state of the request changes; nil while nothing waits for that.
	changed chan struct{}
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.update(func() {
		if c.writeErr == nil {
			c.writeErr = net.ErrClosed
		}
	})
	return c.Conn.Close()
}

// Read reads from the connection. The error may be an *InvalidHeadError or an *UnwrittenError.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	inBody, headErr := c.scanHead(p[:n])
	switch {
	case headErr != nil:
		return 0, headErr
	case inBody && errors.Is(err, io.EOF):
		err = cmp.Or(c.awaitRequest(), err)
	}
	return n, err
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.update(func() { c.writing = true })
	n, err := c.Conn.Write(p)
	c.update(func() {
		c.writing, c.wrote = false, true
		if err != nil {
			c.writeErr = err
		}
	})
	return n, err
}

// awaitRequest waits until the whole request was written; the error is an *UnwrittenError.
func (c *Conn) awaitRequest() error {
	timer := time.NewTimer(writeTimeout)
	defer timer.Stop()
	for {
		c.mu.Lock()
		err, written := c.writeErr, c.requestDone && c.wrote && !c.writing
		if c.changed == nil {
			c.changed = make(chan struct{})
		}
		changed := c.changed
		c.mu.Unlock()
		switch {
		case err != nil:
			return &UnwrittenError{Err: err}
		case written:
			return c.awaitAcknowledged(timer.C)
		}
		select {
		case <-changed:
		case <-timer.C:
			return &UnwrittenError{Err: os.ErrDeadlineExceeded}
		}
	}
}

// awaitAcknowledged waits until the peer has acknowledged all that was written; the error is an *UnwrittenError.
func (c *Conn) awaitAcknowledged(timeout <-chan time.Time) error {
	for {
		queued, err := sendQueue(c.Conn)
		switch {
		case err != nil:
			return &UnwrittenError{Err: err}
		case queued == 0:
			return nil
		}
		select {
		case <-time.After(acknowledgedPoll):
		case <-timeout:
			return &UnwrittenError{Err: os.ErrDeadlineExceeded}
		}
	}
}

// beginRequest prepares for the response to the next request.
func (c *Conn) beginRequest() {
	c.update(func() {
		c.head = headScanner{}
		c.requestDone, c.wrote = false, false
	})
}

// endRequest records that nothing more is added to the request.
func (c *Conn) endRequest() { c.update(func() { c.requestDone = true }) }

// scanHead checks bytes that were read and reports whether the head of the final response has arrived.
func (c *Conn) scanHead(p []byte) (done bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headErr == nil {
		c.headErr = c.head.scan(p)
	}
	return c.head.done, c.headErr
}

// update changes the state of the request and wakes what waits for that.
func (c *Conn) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}
