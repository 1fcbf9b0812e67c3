package relay

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coralstair/coralstair/link"
)

// Call is a request in progress at a box.
type Call struct {
	client     *Client
	id         uint64
	repeatable bool
	// pinned excludes the call from Client.Abandon.
	pinned atomic.Bool

	mu         sync.Mutex
	head       *link.Head
	queue      [][]byte
	done       bool
	err        error
	digest     string
	uncredited int
	ready      chan struct{}
}

func newCall(client *Client, id uint64) *Call {
	return &Call{client: client, id: id, ready: make(chan struct{}, 1)}
}

// Cancel cancels the request at the box.
func (c *Call) Cancel() {
	if c.client.remove(c) {
		// Sent in the background, since the link may be stalled.
		go func() { _ = c.client.sender.Send(c.client.ctx, &link.Cancel{ID: c.id}) }()
	}
}

// Digest returns the digest of the version that the box reports at the end of the response.
func (c *Call) Digest() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.digest
}

// Head returns the head of the response.
func (c *Call) Head() *link.Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head
}

// Pin excludes the call from Abandon, since its response has started and cannot resume elsewhere.
func (c *Call) Pin() { c.pinned.Store(true) }

// Next returns the next part of the response's body; io.EOF means that the response is complete.
func (c *Call) Next(ctx context.Context) ([]byte, error) {
	for {
		body, credit, ok, err := c.takePart()
		if credit > 0 {
			_ = c.client.sender.Send(ctx, &link.Credit{ID: c.id, Bytes: credit})
		}
		if ok || err != nil {
			return body, err
		}
		if err := c.wait(ctx); err != nil {
			return nil, err
		}
	}
}

func (c *Call) awaitHead(ctx context.Context) error {
	for {
		c.mu.Lock()
		head, done, err := c.head, c.done, c.err
		c.mu.Unlock()
		if head != nil {
			return nil
		}
		if done && err != nil {
			return err
		}
		if done {
			return &LostError{Reason: "the response ended without a head"}
		}
		if err := c.wait(ctx); err != nil {
			return err
		}
	}
}

func (c *Call) end(err error) {
	c.mu.Lock()
	c.done = true
	c.err = err
	c.mu.Unlock()
	c.signal()
}

func (c *Call) handleData(m *link.Data) {
	c.mu.Lock()
	c.queue = append(c.queue, m.Body)
	c.mu.Unlock()
	c.signal()
}

func (c *Call) handleEnd(m *link.End) {
	c.mu.Lock()
	c.digest = m.Digest
	c.mu.Unlock()
	switch m.Outcome {
	case link.OutcomeRan:
		c.end(nil)
	case link.OutcomeNotRun:
		c.end(&NotRunError{Reason: m.Reason, At: time.Now()})
	default:
		c.end(&LostError{Reason: m.Reason, EndedIncarnation: m.EndedIncarnation})
	}
}

func (c *Call) handleHead(m *link.Head) {
	c.mu.Lock()
	if c.head == nil {
		c.head = m
	}
	c.mu.Unlock()
	c.signal()
}

func (c *Call) signal() {
	select {
	case c.ready <- struct{}{}:
	default:
	}
}

// takePart removes the next part; credit is what to grant the box, once half a window has been read.
func (c *Call) takePart() (body []byte, credit int, ok bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 {
		body = c.queue[0]
		c.queue = c.queue[1:]
		c.uncredited += len(body)
		if c.uncredited >= Window/2 {
			credit = c.uncredited
			c.uncredited = 0
		}
		return body, credit, true, nil
	}
	if c.done && c.err != nil {
		return nil, 0, false, c.err
	}
	if c.done {
		return nil, 0, false, io.EOF
	}
	return nil, 0, false, nil
}

func (c *Call) wait(ctx context.Context) error {
	select {
	case <-c.ready:
		return nil
	case <-ctx.Done():
		c.Cancel()
		return &LostError{Reason: cancelReason, Err: ctx.Err()}
	}
}
