package relay

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/coralstair/coralstair/link"
)

// Window is how many unread bytes of a response may be in flight.
const Window = 256 << 10

const cancelReason = "the request was cancelled"

// Sender is the sending side of a link.
type Sender interface {
	Send(ctx context.Context, msg link.Message) error
}

// Client sends requests to the box at the other end of a link.
type Client struct {
	ctx    context.Context
	sender Sender
	lastID atomic.Uint64

	mu     sync.Mutex
	calls  map[uint64]*Call
	closed bool
}

// NewClient returns a client on a link; ctx ends with the link.
func NewClient(ctx context.Context, sender Sender) *Client {
	return &Client{ctx: ctx, sender: sender, calls: make(map[uint64]*Call)}
}

// Abandon fails the repeatable calls of a box without heartbeats, so that they can be retried elsewhere. Pinned calls keep waiting, and
// so do others, since their outcome would stay unknown.
func (c *Client) Abandon() {
	c.mu.Lock()
	var abandoned []*Call
	for _, call := range c.calls {
		if call.repeatable && !call.pinned.Load() {
			abandoned = append(abandoned, call)
		}
	}
	c.mu.Unlock()
	for _, call := range abandoned {
		call.Cancel()
		call.end(&LostError{Reason: "the box sends no heartbeats"})
	}
}

// Close closes the client when its link has ended; the outcome of the calls in progress is unknown.
func (c *Client) Close(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for id, call := range c.calls {
		call.end(&LostError{Reason: "the link to the box ended", Err: cause})
		delete(c.calls, id)
	}
}

// Do sends a request and waits for the head of the response; repeatable lets Abandon fail the call.
// A NotRunError means that the request did not run, a LostError that this is unknown.
func (c *Client) Do(ctx context.Context, req link.Request, repeatable bool) (*Call, error) {
	req.ID = c.lastID.Add(1)
	req.Credit = Window
	call := newCall(c, req.ID)
	call.repeatable = repeatable
	if !c.add(call) {
		return nil, &NotRunError{Reason: "the link to the box has ended"}
	}
	if err := c.sender.Send(ctx, &req); err != nil {
		c.remove(call)
		return nil, &NotRunError{Reason: "not sent: " + err.Error()}
	}
	if err := call.awaitHead(ctx); err != nil {
		return nil, err
	}
	return call, nil
}

// Handle handles a message from the link; it ignores messages that are not part of a response, or whose call has ended.
func (c *Client) Handle(msg link.Message) {
	switch m := msg.(type) {
	case *link.Head:
		if call := c.call(m.ID); call != nil {
			call.handleHead(m)
		}
	case *link.Data:
		if call := c.call(m.ID); call != nil {
			call.handleData(m)
		}
	case *link.End:
		if call := c.call(m.ID); call != nil {
			c.remove(call)
			call.handleEnd(m)
		}
	}
}

// InFlight returns the number of calls in progress.
func (c *Client) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls)
}

func (c *Client) add(call *Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.calls[call.id] = call
	return true
}

func (c *Client) call(id uint64) *Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls[id]
}

func (c *Client) remove(call *Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.calls[call.id]
	delete(c.calls, call.id)
	return ok
}
