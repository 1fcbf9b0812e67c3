package relay

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/coralstair/coralstair/link"
)

// Window is how many bytes of an answer may be on the way to a reader that has not read them.
const Window = 256 << 10

const cancelReason = "the caller has gone"

// Sender is the sending side of a link.
type Sender interface {
	Send(ctx context.Context, msg link.Message) error
}

// Client hands requests to the box at the other end of one link.
type Client struct {
	ctx    context.Context
	sender Sender
	last   atomic.Uint64

	mu    sync.Mutex
	calls map[uint64]*Call
	ended bool
}

// NewClient returns a client of a link; ctx ends with the link.
func NewClient(ctx context.Context, sender Sender) *Client {
	return &Client{ctx: ctx, sender: sender, calls: make(map[uint64]*Call)}
}

// Abandon gives up the calls that may be made again elsewhere: the box has been silent for long. Others go on waiting,
// since what became of them could not be found out, and so do those that nothing else can hold.
func (c *Client) Abandon() {
	c.mu.Lock()
	var given []*Call
	for _, call := range c.calls {
		if call.repeatable && !call.kept.Load() {
			given = append(given, call)
		}
	}
	c.mu.Unlock()
	for _, call := range given {
		call.Cancel()
		call.end(&LostError{Reason: "the box is silent"})
	}
}

// Close ends the client with its link: what became of the calls in progress is not known.
func (c *Client) Close(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for id, call := range c.calls {
		call.end(&LostError{Reason: "the link to the box ended", Err: cause})
		delete(c.calls, id)
	}
}

// Do hands a request over and waits for the answer's head; repeatable says that it may be given up by Abandon.
// A NotRunError says that the request did not run, a LostError that this is not known.
func (c *Client) Do(ctx context.Context, req link.Request, repeatable bool) (*Call, error) {
	req.ID = c.last.Add(1)
	req.Credit = Window
	call := newCall(c, req.ID)
	call.repeatable = repeatable
	if !c.add(call) {
		return nil, &NotRunError{Reason: "the link to the box has ended"}
	}
	if err := c.sender.Send(ctx, &req); err != nil {
		c.remove(call)
		return nil, &NotRunError{Reason: "not handed over: " + err.Error()}
	}
	if err := call.awaitHead(ctx); err != nil {
		return nil, err
	}
	return call, nil
}

// Handle takes one message that came over the link; others than those of an answer are passed over.
// A message for a call that has ended is late and is dropped.
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
	if c.ended {
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
