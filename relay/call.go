package relay

import (
	"context"
	"io"
	"sync"
	"sync/atomic"

	"github.com/coralstair/coralstair/link"
)

// Call is one request in progress at a box.
type Call struct {
	client     *Client
	id         uint64
	repeatable bool
	// kept says that the answer can only come from here.
	kept atomic.Bool

	mu      sync.Mutex
	head    *link.Head
	queue   [][]byte
	done    bool
	err     error
	digest  string
	unacked int
	ready   chan struct{}
}

func newCall(client *Client, id uint64) *Call {
	return &Call{client: client, id: id, ready: make(chan struct{}, 1)}
}

// Cancel tells the box that nobody waits for the answer any more.
func (c *Call) Cancel() {
	if c.client.remove(c) {
		// Not waited for: the link may be stuck.
		go func() { _ = c.client.sender.Send(c.client.ctx, &link.Cancel{ID: c.id}) }()
	}
}

// Digest returns the digest that the box says it served until the end of the answer.
func (c *Call) Digest() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.digest
}

// Head returns the answer's head.
func (c *Call) Head() *link.Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head
}

// Keep has Abandon pass the call over, since its answer has begun and can not go on elsewhere.
func (c *Call) Keep() { c.kept.Store(true) }

// Next returns the next part of the answer's body; io.EOF says that the answer is whole.
func (c *Call) Next(ctx context.Context) ([]byte, error) {
	for {
		body, credit, ok, err := c.take()
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
			return &LostError{Reason: "the answer ended before it began"}
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
		c.end(&NotRunError{Reason: m.Reason})
	default:
		c.end(&LostError{Reason: m.Reason, Ended: m.Ended})
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

// take removes the next part; credit is what to give back to the box once half a window has been read.
func (c *Call) take() (body []byte, credit int, ok bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 {
		body = c.queue[0]
		c.queue = c.queue[1:]
		c.unacked += len(body)
		if c.unacked >= Window/2 {
			credit = c.unacked
			c.unacked = 0
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
