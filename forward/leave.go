package forward

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/engine"
)

const (
	// lameTime is how long a leaving entry goes on in any case: the balancer asks once a second and believes the second miss.
	lameTime = 2500 * time.Millisecond
	// quietTime is how long nothing has to have come before a leaving entry ends: what comes later than lameTime says that the
	// balancer still hands connections over.
	quietTime = time.Second
	// restShare of the idle time that callers are told is how long they take up a connection again; restMargin is kept for the way.
	restShare  = 0.8
	restMargin = 500 * time.Millisecond
	// graceMargin is kept from the time that a planned stop may take, closingTime before that from the connections that rest, so
	// that answers to the last requests still leave.
	graceMargin = 500 * time.Millisecond
	closingTime = 200 * time.Millisecond
	leaveTick   = 20 * time.Millisecond
	// An answer may take leaveFactor times as long as predicted, and leaveMargin more, for its request to be begun in a leave.
	leaveFactor = 2
	leaveMargin = 500 * time.Millisecond
	// leaveRetryAfter is when a caller whose request is not begun is told to come back; its next connection leads to another entry.
	leaveRetryAfter = 100 * time.Millisecond
)

// Leave takes the entry out of service. The balancer is told, and each answer tells its caller to go elsewhere; requests are
// taken until no more come or the time is over, and only then the connections that callers keep are closed.
func (e *Entry) Leave(ctx context.Context) {
	began := clock.Now()
	deadline := began.Add(e.cfg.Machine.Bounds.Grace - graceMargin)
	closes := deadline.Add(-closingTime)
	e.closes.Store(&closes)
	e.leaving.Store(true)
	e.log.Info("entry: leaving")
	until(ctx, closes, func(now time.Time) bool {
		return now.Sub(began) >= lameTime && e.conns.settled(now, e.keptTime())
	})
	early := e.conns.kept(clock.Now(), e.keptTime())
	until(ctx, deadline, e.conns.closeResting)
	e.sayLeft(began, early)
	_ = e.callers.Close()
}

// until waits until something is done, a time comes or ctx ends.
func until(ctx context.Context, limit time.Time, done func(now time.Time) bool) {
	ticker := time.NewTicker(leaveTick)
	defer ticker.Stop()
	for now := clock.Now(); now.Before(limit) && ctx.Err() == nil && !done(now); now = clock.Now() {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// keptTime returns how long a connection has to have rested for callers not to take it up again.
func (e *Entry) keptTime() time.Duration {
	idle := idleCallerTime
	if cfg := e.cfg.View.Config(); cfg != nil && cfg.Limits.IdleTime > 0 {
		idle = cfg.Limits.IdleTime
	}
	return time.Duration(restShare*float64(idle)) + restMargin
}

// sayLeft writes what the end of the leave cuts, request by request, and how many connections were closed early.
func (e *Entry) sayLeft(began time.Time, early int) {
	now := clock.Now()
	cut := e.conns.inProgress()
	for _, r := range cut {
		e.log.WithFields(log.Fields{"id": r.id, "route": r.route, "ms": now.Sub(r.started).Milliseconds()}).
			Warn("entry: a request is cut")
	}
	line := e.log.WithFields(log.Fields{"ms": now.Sub(began).Milliseconds(), "kept": early})
	if len(cut) > 0 {
		line.WithField("requests", len(cut)).Warn("entry: left with requests in progress")
		return
	}
	line.Info("entry: left")
}

// lameUntil returns the time from which on the balancer hands no connections over any more, by that at which a leave closes those
// that rest. What comes later comes from callers whom other entries serve as well, so only what is certain to end is begun: an
// answer that took longer than twice what was predicted was cut.
func (e *Entry) lameUntil(closes time.Time) time.Time {
	return closes.Add(closingTime + graceMargin - e.cfg.Machine.Bounds.Grace + lameTime)
}

// endsInTime reports whether the request is answered before a leaving entry ends: because its own time is over by then, or as
// far as the best server's load tells. What waits before it and its length may be off by a factor, its length up to what the
// caller lets it have.
func (c *call) endsInTime(now time.Time) bool {
	closes := c.entry.closes.Load()
	if closes == nil || !c.ends.After(*closes) {
		return true
	}
	model := c.service.Engine
	if model == nil || model.ReadRate <= 0 || now.After(c.entry.lameUntil(*closes)) {
		return false
	}
	ch, ok := c.entry.choose(c.wanted(), now)
	if !ok {
		return true
	}
	tokens := c.ask.answer()
	if tokens == 0 {
		tokens = model.UsualAnswer
	}
	tokens *= leaveFactor
	if c.ask.Answer > 0 {
		tokens = min(tokens, c.ask.Answer)
	}
	takes := leaveFactor*ch.first + engine.Write(model, ch.load, tokens) + leaveMargin
	if now.Add(takes).Before(*closes) {
		return true
	}
	c.last = ch
	return false
}
