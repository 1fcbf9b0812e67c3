package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/coralstair/coralstair/admission"
	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/contract"
)

const (
	// Requests of one service that wait for a server take up 1/heldDivisor of the machine's memory, at heldCost each beside their
	// bodies: a connection's buffers and a goroutine's stack.
	heldCost = 64 << 10
	// releaseInterval is how often a room with requests looks at the servers: a fraction of the interval of reports.
	releaseInterval = 20 * time.Millisecond
	// Callers give up a stream whose first event does not come within minPatience, patienceGoals times its goal or patiencePauses times
	// its longest pause, whichever is longest.
	minPatience    = 2 * time.Second
	patienceGoals  = 4
	patiencePauses = 8
)

// rooms are the rooms of waiting requests by pool of servers. The zero value has none.
type rooms struct {
	mu   sync.Mutex
	byID map[string]*room
}

// room holds the calls that wait for a server of one pool.
type room struct {
	entry   *Entry
	service *contract.Service
	homes   contract.Homes
	waiting *admission.Room

	mu sync.Mutex
	// calls are the channels on which held calls learn of their release; running is set while serve runs.
	calls   map[*admission.Held]chan heldEnd
	running bool
}

// heldEnd is how a wait in the room ended: err is nil when the request is to be sent.
type heldEnd struct {
	err error
	why string
}

// roomOf returns the room of a call's pool.
func (e *Entry) roomOf(c *call) *room {
	e.rooms.mu.Lock()
	defer e.rooms.mu.Unlock()
	if e.rooms.byID == nil {
		e.rooms.byID = make(map[string]*room)
	}
	r := e.rooms.byID[c.pool()]
	if r == nil {
		limit := int(newHoldings(e.cfg.Machine.Memory).limit / heldCost)
		r = &room{entry: e, waiting: admission.NewRoom(limit), calls: make(map[*admission.Held]chan heldEnd)}
		e.rooms.byID[c.pool()] = r
	}
	r.mu.Lock()
	// The service's engine may have changed with the configuration.
	r.service, r.homes = c.service, c.homes
	r.mu.Unlock()
	return r
}

// forecast predicts the room at the servers of the pool.
func (r *room) forecast(now time.Time) admission.Forecast {
	r.mu.Lock()
	service, homes := r.service, r.homes
	r.mu.Unlock()
	return r.entry.forecast(service, homes, now)
}

// countFirstTry counts a first try at the service's room.
func (c *call) countFirstTry() {
	if c.ranked && c.sinceFirst == 0 {
		c.entry.roomOf(c).waiting.Arrive(c.started)
	}
}

// sendOrWait sends the request to the next server, or holds it until one takes it. A return waits behind those that are held already.
func (c *call) sendOrWait(ctx context.Context) error {
	var err error = &NoServerError{Service: c.service.Name, Reason: "others wait for a server"}
	if c.sinceFirst == 0 || !c.mayBeHeld(err) || c.entry.roomOf(c).waiting.Len() == 0 {
		err = c.sendNextWithRetries(ctx)
	}
	if err != nil {
		err = c.waitInRoom(ctx, err)
	}
	return err
}

// mayBeHeld reports whether a request that was not sent for this reason may wait for a server: one that no server has had, of a service
// whose requests differ in rank.
func (c *call) mayBeHeld(err error) bool {
	if !c.ranked || c.route.Goal <= 0 || c.mayHaveRun || c.entry.leaving.Load() {
		return false
	}
	c.mu.Lock()
	untried := c.sends == 0 && c.refusalCount == 0
	c.mu.Unlock()
	return untried && (errors.As(err, new(*NoServerError)) || c.sinceFirst > 0 && errors.As(err, new(*BusyError)))
}

// waitInRoom holds a request that was not sent because of cause until it is sent or refused; it returns nil once it is sent, or else why
// it is not. What is refused at once has the time of its return in comeBack.
func (c *call) waitInRoom(ctx context.Context, cause error) error {
	if !c.mayBeHeld(cause) {
		return cause
	}
	r, now := c.entry.roomOf(c), clock.Now()
	forecast := r.forecast(now)
	busy := errors.As(cause, new(*BusyError))
	if busy && !forecast.Coming() && r.waiting.Len() == 0 {
		return cause
	}
	verdict, released := r.offer(c.waitingRequest(now), forecast, now)
	c.heldWhy, c.verdict = verdict.Why, verdict
	if verdict.Held == nil {
		if !busy {
			c.comeBack = verdict.ComeBack
		}
		countHeld(verdict.Why)
		return cause
	}
	heldNow.Inc()
	defer heldNow.Dec()
	defer func() { c.heldFor = clock.Since(now) }()
	defer r.unregister(verdict.Held)
	return c.awaitRelease(ctx, r, verdict.Held, released, cause)
}

// awaitRelease waits until the room releases the request, and sends it then.
func (c *call) awaitRelease(ctx context.Context, r *room, held *admission.Held, released <-chan heldEnd, cause error) error {
	for {
		select {
		case <-ctx.Done():
			c.heldWhy = "its time ran out"
			if c.r.Context().Err() != nil {
				c.heldWhy = "its caller has gone"
			}
			countHeld(c.heldWhy)
			return cause
		case end := <-released:
			if end.err != nil {
				c.heldWhy = end.why
				countHeld(end.why)
				return errors.Join(end.err, cause)
			}
		}
		c.passedGoal(clock.Now())
		err := c.sendNext()
		if err == nil {
			heldError.Update(clock.Since(held.Predicted).Abs().Seconds())
			countHeld("sent")
			return nil
		}
		if !c.mayBeHeld(err) {
			countHeld("not sent")
			return err
		}
		cause = err
		r.waiting.Restore(held)
	}
}

// passedGoal makes a first try that was held beyond its goal count as a return: it has no more to lose by going after first tries.
func (c *call) passedGoal(now time.Time) {
	if waited := now.Sub(c.started); c.sinceFirst == 0 && waited > c.route.Goal {
		c.sinceFirst = waited
	}
}

// waitingRequest describes the call to its room.
func (c *call) waitingRequest(now time.Time) admission.Waiting {
	patience := max(minPatience, patienceGoals*c.route.Goal, patiencePauses*c.route.PauseGoal)
	w := admission.Waiting{
		Rank: c.rank, IsReturn: c.sinceFirst > 0, InTime: c.started.Add(c.route.Goal - c.sinceFirst),
		GivesUp: c.started.Add(patience), Deadline: c.deadline, Rest: c.restOfAnswer(),
	}
	if c.route.Kind != contract.KindStream {
		w.GivesUp = c.deadline
	}
	if w.IsReturn {
		w.InTime = now
	}
	return w
}

// offer offers a request to the room, and ends the wait of one that gives way to it. A request that is held learns of its release on the
// channel.
func (r *room) offer(w admission.Waiting, f admission.Forecast, now time.Time) (verdict admission.Verdict, released <-chan heldEnd) {
	r.mu.Lock()
	verdict = r.waiting.Offer(w, f, now)
	if verdict.Held != nil {
		// The room may release it as soon as mu is free.
		ends := make(chan heldEnd, 1)
		r.calls[verdict.Held], released = ends, ends
		if !r.running {
			r.running = true
			go r.serve()
		}
	}
	r.mu.Unlock()
	if verdict.GivesWay != nil {
		r.end(verdict.GivesWay, heldEnd{err: errGaveWay, why: admission.WhyMoreUrgent})
	}
	return verdict, released
}

// unregister frees the place of a request.
func (r *room) unregister(held *admission.Held) {
	r.waiting.Remove(held)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, held)
}

// end ends the wait of a request.
func (r *room) end(held *admission.Held, end heldEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if released := r.calls[held]; released != nil {
		select {
		case released <- end:
		default:
		}
	}
}

// serve releases and refuses held requests until the room is empty.
func (r *room) serve() {
	ticker := time.NewTicker(releaseInterval)
	defer ticker.Stop()
	for range ticker.C {
		if r.stopIfEmpty() {
			return
		}
		if r.entry.leaving.Load() {
			r.endAll(heldEnd{err: errLeaving, why: "the entry leaves"})
			continue
		}
		now := clock.Now()
		send, refuse := r.waiting.Release(r.forecast(now), now)
		for _, held := range send {
			r.end(held, heldEnd{})
		}
		for _, held := range refuse {
			r.end(held, heldEnd{err: errSlipped, why: admission.WhySlipped})
		}
	}
}

// stopIfEmpty ends serving when no call is in the room.
func (r *room) stopIfEmpty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = len(r.calls) > 0
	return !r.running
}

func (r *room) endAll(end heldEnd) {
	r.mu.Lock()
	all := make([]*admission.Held, 0, len(r.calls))
	for held := range r.calls {
		all = append(all, held)
	}
	r.mu.Unlock()
	for _, held := range all {
		r.end(held, end)
	}
}
