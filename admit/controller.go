package admit

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Bounds of the retry delay that a refused caller is given.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 60 * time.Second
)

// maxWaitPercent is the largest expected wait at which a request is queued, as a percentage of the time to its deadline. The
// rest covers the response and errors of the estimate.
const maxWaitPercent = 25

// RefusedError says that a request was refused before it was sent to a box.
type RefusedError struct {
	Reason string
	// RetryAfter is the delay after which the caller may retry.
	RetryAfter time.Duration
	// Overload says that the service is at its limit, rather than the team.
	Overload bool
}

// Error returns the reason and the retry delay.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s; come back in %s", e.Reason, e.RetryAfter)
}

// Request is a request for a place at a box.
type Request struct {
	Team     string
	Weight   int
	Priority int
	Deadline time.Time
	// Retried marks a request that was admitted before, to a box that did not run it; it is not refused for a long expected wait.
	Retried bool
	// Concurrency limits the team's requests, waiting and running; 0 means no limit.
	Concurrency int
	// Reserve reserves a box for the request; ok is false while none has capacity.
	Reserve func() (box string, ok bool)
}

// Ticket is a request that has a box or waits in the queue.
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
	// teamRates measures each team's dispatch rate since its queue was last empty; before that the rate reflects the team's
	// demand rather than its share.
	teamRates    map[string]*Rate
	teamRequests map[string]int
}

// NewController returns a controller whose queue holds at most limit requests.
func NewController(limit int) *Controller {
	return &Controller{
		queue:        NewQueue(limit),
		teamRates:    make(map[string]*Rate),
		teamRequests: make(map[string]int),
	}
}

// Acquire waits for a box and returns the one that Reserve returned. The caller calls Done when the request has ended.
// It returns a RefusedError without waiting when the request is not expected to meet its deadline.
func (c *Controller) Acquire(ctx context.Context, req Request) (box string, err error) {
	ticket, err := c.admit(req, time.Now())
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
		return c.abandon(ticket, "the deadline passed while waiting")
	case <-ctx.Done():
		return c.abandon(ticket, "the caller has gone")
	}
}

// Reserve reserves another box for an admitted request, without waiting.
func (c *Controller) Reserve(req Request) (box string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return req.Reserve()
}

// Done releases an admitted request's slot in its team's concurrency limit.
func (c *Controller) Done(team string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseSlot(team)
}

// Dispatch dispatches waiting requests while boxes have capacity.
func (c *Controller) Dispatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatch(time.Now())
}

// Shed refuses waiting requests that are no longer expected to meet their deadline, the last of a team first.
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
			c.refuseQueued(last, "the deadline can no longer be met", now)
		}
	}
}

// Waiting returns the number of waiting requests.
func (c *Controller) Waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.Len()
}

func (c *Controller) admit(req Request, now time.Time) (*Ticket, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if req.Concurrency > 0 && c.teamRequests[req.Team] >= req.Concurrency {
		return nil, &RefusedError{Reason: "the team is at its limit", RetryAfter: minRetryAfter}
	}
	ticket := &Ticket{req: req, placed: make(chan string, 1)}
	if c.queue.Len() == 0 {
		if box, ok := req.Reserve(); ok {
			c.queue.Charge(req.Team, req.Weight)
			c.grant(ticket, box, now)
			return ticket, nil
		}
	}
	if wait := c.expectedWait(req, now); !req.Retried && wait > req.Deadline.Sub(now)*maxWaitPercent/100 {
		return nil, c.refusal("the deadline cannot be met", wait)
	}
	ticket.item = &Item{Team: req.Team, Weight: req.Weight, Priority: req.Priority, Deadline: req.Deadline, ticket: ticket}
	c.teamRequests[req.Team]++
	if c.queue.Waiting(req.Team) == 0 {
		c.teamRates[req.Team] = &Rate{}
	}
	evicted := c.queue.Push(ticket.item)
	if evicted == ticket.item {
		c.releaseSlot(req.Team)
		return nil, c.refusal("the queue is full", c.drainTime(now))
	}
	if evicted != nil {
		c.refuseQueued(evicted, "the queue is full", now)
	}
	c.dispatch(now)
	return ticket, nil
}

// refuseQueued refuses a request that was taken out of the queue.
func (c *Controller) refuseQueued(item *Item, reason string, now time.Time) {
	c.releaseSlot(item.Team)
	item.ticket.err = c.refusal(reason, c.drainTime(now))
	close(item.ticket.placed)
}

// drainTime returns how long the queue takes to empty at the current rate.
func (c *Controller) drainTime(now time.Time) time.Duration {
	return timeToServe(c.queue.Len(), c.rate.PerSecond(now))
}

// expectedWait returns how long a new request of a team would wait.
func (c *Controller) expectedWait(req Request, now time.Time) time.Duration {
	return c.waitBehind(req.Team, req.Weight, c.queue.Waiting(req.Team), now)
}

// waitBehind returns the expected wait of a request behind n others of its team: the longer of the estimates by the whole
// queue's rate and by the team's own.
func (c *Controller) waitBehind(team string, weight, n int, now time.Time) time.Duration {
	wait := timeToServe(c.queue.Ahead(team, weight, n), c.rate.PerSecond(now))
	if own := c.teamRates[team]; own != nil {
		wait = max(wait, timeToServe(n, own.PerSecond(now)))
	}
	return wait
}

func timeToServe(waiting int, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(waiting) / perSecond * float64(time.Second))
}

// abandon takes a request out of the queue, unless it was dispatched at the same time.
func (c *Controller) abandon(ticket *Ticket, reason string) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ticket.item != nil && c.queue.Remove(ticket.item) {
		c.releaseSlot(ticket.req.Team)
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
		c.teamRequests[ticket.req.Team]++
	}
	c.rate.Record(now)
	if teamRate := c.teamRates[ticket.req.Team]; teamRate != nil {
		teamRate.Record(now)
	}
	ticket.placed <- box
}

func (c *Controller) dispatch(now time.Time) {
	for {
		item, ok := c.queue.Peek()
		if !ok {
			return
		}
		if now.After(item.Deadline) {
			c.queue.Remove(item)
			c.refuseQueued(item, "the deadline passed while waiting", now)
			continue
		}
		box, ok := item.ticket.req.Reserve()
		if !ok {
			return
		}
		c.queue.Pop()
		c.grant(item.ticket, box, now)
	}
}

// releaseSlot removes one request, waiting or running, from the team's count.
func (c *Controller) releaseSlot(team string) {
	c.teamRequests[team]--
	if c.teamRequests[team] <= 0 {
		delete(c.teamRequests, team)
	}
}

func (c *Controller) refusal(reason string, wait time.Duration) *RefusedError {
	return &RefusedError{Reason: reason, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter), Overload: true}
}
