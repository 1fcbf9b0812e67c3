package stricthttp

import (
	"net"
	"sync"
)

// Conn is a client's connection that checks what net/http does not tell of the head of a response.
type Conn struct {
	net.Conn

	mu   sync.Mutex
	head headScanner
	// headErr is why the head of the response is invalid; nothing more is read then.
	headErr error
}

// Read reads from the connection. The error may be an *InvalidHeadError.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if headErr := c.scanHead(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// beginRequest prepares for the response to the next request.
func (c *Conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headScanner{}
}

// scanHead checks bytes that were read.
func (c *Conn) scanHead(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headErr == nil {
		c.headErr = c.head.scan(p)
	}
	return c.headErr
}
