package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
)

// A repeatable request is handed over when its server is about to load another version, silent or broken. A server
// that still works keeps the request until another one has begun to respond; one that refuses or stays silent changes
// nothing.

const (
	// retryInterval is the pause before servers are looked for again.
	retryInterval = 100 * time.Millisecond
	// resumeTimeout bounds the search for a server that continues a broken stream; it is shorter than callers wait
	// for an event.
	// Callers give up a stream after two seconds without an event at the soonest.
	resumeTimeout = 1500 * time.Millisecond
	// versionDeadlineMargin is how long before the deadline of its version a waiting request is cancelled, beside the measured delay of the
	// link to the server.
	versionDeadlineMargin = 100 * time.Millisecond
)

// start sends the request to a server in a goroutine of its own; nil if the server no longer has room. mu is held.
func (c *call) start(ch choice) *attempt {
	r := ch.upstream.tryAcquire(c.info.PromptTokens, ch.first, ch.entries, clock.Now())
	if r == nil {
		return nil
	}
	r.setRank(ch.rank)
	if c.service.Engine != nil {
		var due time.Time
		if due, ch.older = c.entry.cfg.View.VersionDeadline(c.model(), ch.version); ch.older {
			ch.versionLeft = clock.Until(due)
		}
	}
	a := &attempt{call: c, choice: ch, inFlight: r, priority: c.priority(), primary: c.winner, newConn: c.useNewConns}
	a.ctx, a.cancel = context.WithCancelCause(c.ctx)
	c.sends++
	c.excluded[ch.server.ID] = true
	c.lastChoice = ch
	a.inFlight.onServerRestart(a.cancel)
	c.pending = append(c.pending, a)
	if c.route.Repeatable() {
		a.awaitsData.Store(true)
		a.silenceTimer = time.AfterFunc(a.responseTimeout(), a.onSilence)
		if c.service.Engine != nil {
			a.inFlight.onClosing(a.move)
		}
	}
	if c.service.Engine != nil && (c.route.Repeatable() || c.route.Kind == contract.KindStream) {
		a.hasVersionBound = true
		a.setVersionTimer()
	}
	go a.run()
	return a
}

// setVersionTimer cancels a request that has not begun shortly before the deadline of its server's version, as known now: a slot could
// become free after it, and the outdated version would answer. mu is held.
func (a *attempt) setVersionTimer() {
	due, older := a.call.entry.cfg.View.VersionDeadline(a.call.model(), a.choice.version)
	switch left := clock.Until(due) - versionDeadlineMargin - a.choice.upstream.linkDelay(clock.Now()); {
	case !older:
	case a.versionTimer == nil:
		a.versionTimer = time.AfterFunc(left, a.onVersionDeadline)
	default:
		a.versionTimer.Reset(left)
	}
}

// onVersionDeadline cancels the attempt unless its server has begun to respond.
func (a *attempt) onVersionDeadline() {
	if _, live := a.state(); live {
		a.cancel(&VersionDeadlineError{Server: a.choice.server.ID})
	}
}

// followVersions applies the bounds of versions to the requests in progress whenever they change, until ctx ends.
func (e *Entry) followVersions(ctx context.Context) error {
	var targets []discovery.ObservedTarget
	for {
		changed := e.cfg.View.Changed()
		if current := e.cfg.View.Targets(); !slices.Equal(current, targets) {
			targets = current
			e.resetVersionTimers()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// resetVersionTimers applies the current deadlines of versions to all requests that have not begun.
func (e *Entry) resetVersionTimers() {
	for _, c := range e.calls.list() {
		c.mu.Lock()
		for _, a := range c.pending {
			if a.hasVersionBound {
				a.setVersionTimer()
			}
		}
		c.mu.Unlock()
	}
}

// responseTimeout returns how long the server may stay silent. An attempt beside a primary gets the pause goal, or
// somewhat more than its predicted time to the first event if that is longer: the primary's events are buffered
// meanwhile.
func (a *attempt) responseTimeout() time.Duration {
	if a.primary == nil {
		return a.choice.silenceTimeout()
	}
	return max(a.call.route.PauseGoal, a.choice.first*3/2)
}

// run performs the attempt and, if it gets a response, tries to win the call.
func (a *attempt) run() {
	result, err := a.exchange()
	if err == nil {
		if a.win() {
			return
		}
		// The server has run the request, but its response is not used.
		result, err = resultLost, context.Cause(a.ctx)
	}
	a.recordFailure(result, err)
	a.close()
}

// state reports whether the attempt may still win the call, and returns the stream being relayed.
func (a *attempt) state() (s *callerStream, live bool) {
	c := a.call
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stream, !c.done && slices.Contains(c.pending, a)
}

// win makes the attempt the one whose response is relayed and cancels all others; false when it is no longer wanted.
func (a *attempt) win() bool {
	c := a.call
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done || a.ctx.Err() != nil || c.winner != nil && c.winner != a.primary {
		return false
	}
	c.pending = slices.DeleteFunc(c.pending, func(other *attempt) bool { return other == a })
	others := c.pending
	if c.winner != nil {
		others = append(others, c.winner)
	}
	for _, other := range others {
		other.cancel(&SupersededError{Server: other.choice.server.ID, To: a.choice.server.ID})
	}
	if len(others) > 0 {
		handovers("taken").Inc()
	}
	c.pending, c.winner, c.lastChoice = nil, a, a.choice
	c.notify()
	return true
}

// recordFailure records an attempt without a usable response; the others continue.
func (a *attempt) recordFailure(result attemptResult, err error) {
	c := a.call
	c.mu.Lock()
	if c.done {
		c.mu.Unlock()
		return
	}
	c.pending = slices.DeleteFunc(c.pending, func(other *attempt) bool { return other == a })
	if result == resultNotRun {
		c.sends--
		c.refusalCount++
		c.refusedAt[a.choice.server.ID] = clock.Now()
	}
	if errors.As(err, new(*VersionDeadlineError)) {
		// The request has only waited: it does not count as an attempt, and goes before others at the next server. This one may take it
		// again once it runs a newer version.
		delete(c.excluded, a.choice.server.ID)
		c.urgent, c.waited = true, true
	}
	c.failures = append(c.failures, failure{response: a.complete, result: result, err: err})
	s, continues := c.stream, c.continues()
	c.mu.Unlock()
	c.recordResult(a, result, err)
	if continues {
		handovers("refused").Inc()
	}
	if s != nil {
		s.flushFor(a)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notify()
}

// continues reports whether another attempt is in progress, and if so makes its server the one that the request's log
// line names; mu is held.
func (c *call) continues() bool {
	switch {
	case c.winner != nil:
		c.lastChoice = c.winner.choice
	case len(c.pending) > 0:
		c.lastChoice = c.pending[0].choice
	default:
		return false
	}
	return true
}

// notify wakes the call's goroutine; mu is held.
func (c *call) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// inProgress reports whether an attempt may still respond or has an unhandled failure.
func (c *call) inProgress() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.winner != nil || len(c.pending) > 0 || len(c.failures) > 0
}

// waitResult waits until an attempt wins or fails; all fail at the call's deadline.
func (c *call) waitResult() (winner *attempt, failures []failure) {
	<-c.wake
	c.mu.Lock()
	defer c.mu.Unlock()
	winner, failures, c.failures = c.winner, c.failures, nil
	return winner, failures
}

// finish cancels all pending attempts.
func (c *call) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done = true
	for _, a := range c.pending {
		a.cancel(nil)
	}
}

// startSilenceTimer sets the timeout within which the server must send data.
func (a *attempt) startSilenceTimer(silence time.Duration) {
	if a.silenceTimer != nil {
		a.awaitsData.Store(true)
		a.silenceTimer.Reset(silence)
	}
}

// stopSilenceTimer suspends the timeout: it doesn't apply while a slow caller reads.
func (a *attempt) stopSilenceTimer() {
	if a.silenceTimer != nil {
		a.awaitsData.Store(false)
		a.silenceTimer.Stop()
	}
}

// onSilence handles an expired silence timeout: it cancels the attempt if that delays the primary, and otherwise
// hedges the request.
func (a *attempt) onSilence() {
	c := a.call
	if !a.awaitsData.Load() {
		return
	}
	err := &SilentServerError{Server: a.choice.server.ID}
	if a.markSilent() {
		c.logEjection(a, a.choice.upstream.recordTimeout(clock.Now()), err.Error())
	}
	if a.delaysPrimary() {
		a.cancel(err)
		return
	}
	c.hedge(a, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.awaitsData.Load() && !c.done && (c.winner == a || slices.Contains(c.pending, a)) {
		a.silenceTimer.Reset(retryInterval << min(c.refusalCount, maxRefusals))
	}
}

// delaysPrimary reports whether events of a working server are buffered because of the attempt.
func (a *attempt) delaysPrimary() bool {
	c := a.call
	c.mu.Lock()
	s, working := c.stream, a.primary != nil && c.winner == a.primary
	c.mu.Unlock()
	return s != nil && working && s.buffersFor(a)
}

// markSilent marks the server as silent and reports whether it was not before.
func (a *attempt) markSilent() bool {
	a.call.mu.Lock()
	defer a.call.mu.Unlock()
	first := !a.wasSilent
	a.wasSilent, a.call.useNewConns = true, true
	return first
}

// hedge sends the request to a second server if a is the only attempt in progress. A move off a closing server also
// requires that the second one is predicted to respond in time.
func (c *call) hedge(a *attempt, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stream
	if c.done || !c.mayHedge() || !c.isOnly(a) || c.winner != nil && (s == nil || !s.resumable()) {
		return
	}
	_, closing := cause.(*ClosingError)
	ch, ok := c.chooseHedge(a, closing)
	if !ok || !c.takeRetry(true) {
		return
	}
	c.urgent = c.urgent || closing || s != nil
	b := c.start(ch)
	if b == nil {
		return
	}
	c.entry.log.WithFields(log.Fields{
		"id": c.info.ID, "server": a.choice.server.ID, "to": b.choice.server.ID, "cause": cause.Error(), "begun": s != nil,
	}).Info("forward: another server is asked")
}

// isOnly reports whether the attempt is the only one in progress; mu is held.
func (c *call) isOnly(a *attempt) bool {
	if c.winner != nil {
		return c.winner == a && len(c.pending) == 0
	}
	return len(c.pending) == 1 && c.pending[0] == a
}

// readmit makes servers eligible again that refused the request a while ago and may have room now; mu is held.
func (c *call) readmit(now time.Time) {
	for id, at := range c.refusedAt {
		if now.Sub(at) >= retryInterval {
			delete(c.refusedAt, id)
			delete(c.excluded, id)
		}
	}
}

// chooseHedge chooses the server for a hedged attempt; mu is held.
func (c *call) chooseHedge(a *attempt, closing bool) (choice, bool) {
	if !closing {
		c.readmit(clock.Now())
	}
	want := c.requirements()
	want.movable = false
	want.urgent = c.urgent || closing || c.stream != nil
	if c.stream != nil {
		want.version = c.stream.version
	}
	if c.stream != nil && closing {
		want.minOpen = minTurnLead
	}
	ch, ok := c.entry.choose(want, clock.Now())
	if !ok || closing && (ch.first > a.moveTimeLimit() || c.stream != nil && c.tooFewServers(ch.candidates)) {
		return choice{}, false
	}
	return ch, true
}
