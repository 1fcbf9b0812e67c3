package admit

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Bounds of what a refused caller is told.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 60 * time.Second
)

// waitShare is the part, in percent, of the time left that a request may be expected to wait. The rest is for the
// answer and for an estimate that was too good: a request that is let in and then misses its deadline has been
// refused late, which helps nobody.
const waitShare = 25

// RefusedError says that a request was refused before it went anywhere, and when to come back.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
	// Overload says that the service, not the team, is at its limit.
	Overload bool
}

// Error gives the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s; come back in %s", e.Reason, e.RetryAfter)
}

// Request asks for a turn.
type Request struct {
	Team     string
	Weight   int
	Priority int
	Deadline time.Time
	// Again marks a request that had its turn at a box that did not run it: it is not refused for a wait again.
	Again bool
	// Concurrency bounds the team's requests, waiting and running; 0 means no limit.
	Concurrency int
	// Place reserves a box for the request; ok is false while none has room.
	Place func() (box string, ok bool)
}

// Ticket is a request's turn, or its place in the queue.
type Ticket struct {
	req    Request
	item   *Item
	placed chan string
	err    error
}

// Controller admits the requests of one service.
type Controller struct {
	mu    sync.Mutex
	queue *Queue
	rate  Rate
	// shares measures each team's turns since it last began to wait: while a team asks for less than its share its
	// own rate says nothing of what it could get.
	shares  map[string]*Rate
	running map[string]int
}

// NewController returns a controller whose queue takes at most limit requests.
func NewController(limit int) *Controller {
	return &Controller{
		queue:   NewQueue(limit),
		shares:  make(map[string]*Rate),
		running: make(map[string]int),
	}
}

// Acquire waits for a turn and returns the box that Place reserved. The caller calls Done once the request has ended.
// A RefusedError comes at once when the request cannot make its deadline.
func (c *Controller) Acquire(ctx context.Context, req Request) (box string, err error) {
	ticket, err := c.enter(req, time.Now())
	if err != nil {
		return "", err
	}
	timer := time.NewTimer(time.Until(req.Deadline))
	defer timer.Stop()
	select {
	case box, ok := <-ticket.placed:
		if !ok {
			return "", ticket.err
		}
		return box, nil
	case <-timer.C:
		return c.giveUp(ticket, "the deadline passed while waiting")
	case <-ctx.Done():
		return c.giveUp(ticket, "the caller has gone")
	}
}

// Again asks for another box for a request that has had its turn, without waiting.
func (c *Controller) Again(req Request) (box string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return req.Place()
}

// Done ends a request that had its turn.
func (c *Controller) Done(team string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uncount(team)
}

// Kick gives turns to waiting requests while boxes have room.
func (c *Controller) Kick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kick(time.Now())
}

// Shed refuses waiting requests that are no longer expected to get their turn in time, the last of a team first.
func (c *Controller) Shed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, team := range c.queue.Teams() {
		for {
			last, waiting := c.queue.Last(team)
			if last == nil || c.waitBehind(team, last.Weight, waiting-1, now) <= last.Deadline.Sub(now) {
				break
			}
			c.queue.Remove(last)
			c.evict(last, "the deadline can no longer be met", now)
		}
	}
}

// Waiting returns the number of waiting requests.
func (c *Controller) Waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.Len()
}

func (c *Controller) enter(req Request, now time.Time) (*Ticket, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if req.Concurrency > 0 && c.running[req.Team] >= req.Concurrency {
		return nil, &RefusedError{Reason: "the team is at its limit", RetryAfter: minRetryAfter}
	}
	ticket := &Ticket{req: req, placed: make(chan string, 1)}
	if c.queue.Len() == 0 {
		if box, ok := req.Place(); ok {
			c.queue.Charge(req.Team, req.Weight)
			c.grant(ticket, box, now)
			return ticket, nil
		}
	}
	if wait := c.expectedWait(req, now); !req.Again && wait > req.Deadline.Sub(now)*waitShare/100 {
		return nil, c.refusal("the deadline cannot be met", wait)
	}
	ticket.item = &Item{Team: req.Team, Weight: req.Weight, Priority: req.Priority, Deadline: req.Deadline, ticket: ticket}
	c.running[req.Team]++
	if c.queue.Waiting(req.Team) == 0 {
		c.shares[req.Team] = &Rate{}
	}
	evicted := c.queue.Push(ticket.item)
	if evicted == ticket.item {
		c.uncount(req.Team)
		return nil, c.refusal("the queue is full", c.drainTime(now))
	}
	if evicted != nil {
		c.evict(evicted, "the queue is full", now)
	}
	c.kick(now)
	return ticket, nil
}

// evict gives a waiting request its final answer.
func (c *Controller) evict(item *Item, reason string, now time.Time) {
	c.uncount(item.Team)
	item.ticket.err = c.refusal(reason, c.drainTime(now))
	close(item.ticket.placed)
}

// drainTime is how long all that waits takes at the present rate.
func (c *Controller) drainTime(now time.Time) time.Duration {
	return waitFor(c.queue.Len(), c.rate.PerSecond(now))
}

// expectedWait is how long a new request of a team would wait.
func (c *Controller) expectedWait(req Request, now time.Time) time.Duration {
	return c.waitBehind(req.Team, req.Weight, c.queue.Waiting(req.Team), now)
}

// waitBehind is how long a request waits that has n of its team before it: for all that go first as the queue is, or
// at the rate at which the team has had its turns since it began to wait, whichever is longer.
func (c *Controller) waitBehind(team string, weight, n int, now time.Time) time.Duration {
	wait := waitFor(c.queue.Ahead(team, weight, n), c.rate.PerSecond(now))
	if own := c.shares[team]; own != nil {
		wait = max(wait, waitFor(n, own.PerSecond(now)))
	}
	return wait
}

func waitFor(waiting int, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(waiting) / perSecond * float64(time.Second))
}

// giveUp takes a request out of the queue; one that got its turn at the same moment keeps it.
func (c *Controller) giveUp(ticket *Ticket, reason string) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ticket.item != nil && c.queue.Remove(ticket.item) {
		c.uncount(ticket.req.Team)
		return "", c.refusal(reason, c.drainTime(time.Now()))
	}
	box, ok := <-ticket.placed
	if !ok {
		return "", ticket.err
	}
	return box, nil
}

func (c *Controller) grant(ticket *Ticket, box string, now time.Time) {
	if ticket.item == nil {
		c.running[ticket.req.Team]++
	}
	c.rate.Note(now)
	if share := c.shares[ticket.req.Team]; share != nil {
		share.Note(now)
	}
	ticket.placed <- box
}

func (c *Controller) kick(now time.Time) {
	for {
		item, ok := c.queue.Peek()
		if !ok {
			return
		}
		if now.After(item.Deadline) {
			c.queue.Remove(item)
			c.evict(item, "the deadline passed while waiting", now)
			continue
		}
		box, ok := item.ticket.req.Place()
		if !ok {
			return
		}
		c.queue.Pop()
		c.grant(item.ticket, box, now)
	}
}

// uncount takes one request, waiting or running, off a team's count.
func (c *Controller) uncount(team string) {
	c.running[team]--
	if c.running[team] <= 0 {
		delete(c.running, team)
	}
}

func (c *Controller) refusal(reason string, wait time.Duration) *RefusedError {
	return &RefusedError{Reason: reason, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter), Overload: true}
}
