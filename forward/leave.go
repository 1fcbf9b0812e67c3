package forward

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/engine"
)

const (
	// lameDuckTime is the shortest duration of a leave: the balancer polls once a second and acts on the second failed check.
	lameDuckTime = 2500 * time.Millisecond
	// quietPeriod is how long nothing must have arrived before a leave ends: an arrival after lameDuckTime means that the balancer
	// still sends connections.
	quietPeriod = time.Second
	// Callers reuse an idle connection for idleReuseShare of the announced idle timeout; idleReuseMargin covers the network
	// delay.
	idleReuseShare  = 0.8
	idleReuseMargin = 500 * time.Millisecond
	// A leave ends graceMargin before the time limit of a planned stop and closes idle connections idleCloseMargin earlier, so that
	// the last responses are still sent.
	graceMargin       = 500 * time.Millisecond
	idleCloseMargin   = 200 * time.Millisecond
	leavePollInterval = 20 * time.Millisecond
	// During a leave a request is started if leaveFactor times its predicted duration and leaveMargin fit into the time left.
	leaveFactor = 2
	leaveMargin = 500 * time.Millisecond
	// leaveRetryAfter is the Retry-After of a request refused during a leave; the caller's next connection leads to another entry.
	leaveRetryAfter = 100 * time.Millisecond
)

// Leave takes the entry out of service: readiness checks fail and responses close their connections. It serves requests until no more
// arrive or the time is up, and only then closes idle connections.
func (e *Entry) Leave(ctx context.Context) {
	began := clock.Now()
	deadline := began.Add(e.bounds().Grace - graceMargin)
	closes := deadline.Add(-idleCloseMargin)
	e.closesIdleAt.Store(&closes)
	e.leaving.Store(true)
	e.log.Info("entry: leaving")
	pollUntil(ctx, closes, func(now time.Time) bool {
		return now.Sub(began) >= lameDuckTime && e.conns.drained(now, e.idleReuseTime())
	})
	early := e.conns.reusable(clock.Now(), e.idleReuseTime())
	pollUntil(ctx, deadline, e.conns.closeIdle)
	e.logLeft(began, early)
	_ = e.callers.Close()
}

// pollUntil polls done until it returns true, limit is reached or ctx ends.
func pollUntil(ctx context.Context, limit time.Time, done func(now time.Time) bool) {
	ticker := time.NewTicker(leavePollInterval)
	defer ticker.Stop()
	for now := clock.Now(); now.Before(limit) && ctx.Err() == nil && !done(now); now = clock.Now() {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// idleReuseTime returns how long callers may reuse an idle connection.
func (e *Entry) idleReuseTime() time.Duration {
	idle := callerIdleTimeout
	if cfg := e.cfg.View.Config(); cfg != nil && cfg.Limits.IdleTime > 0 {
		idle = cfg.Limits.IdleTime
	}
	return time.Duration(idleReuseShare*float64(idle)) + idleReuseMargin
}

// logLeft logs each request that is cut off by the end of the leave, and the number of connections closed early.
func (e *Entry) logLeft(began time.Time, early int) {
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

// lameDuckEnd returns when the balancer has stopped sending connections, for a leave that closes idle connections at closes. Later
// requests come from callers that other entries serve too; only those certain to end in time are started.
func (e *Entry) lameDuckEnd(closes time.Time) time.Time {
	return closes.Add(idleCloseMargin + graceMargin - e.bounds().Grace + lameDuckTime)
}

// finishesBeforeLeave reports whether the request ends before a leaving entry stops, by its own deadline or by the prediction for the
// best server. The queue wait, the answer's length and the server's pace may exceed their predictions by leaveFactor.
func (c *call) finishesBeforeLeave(now time.Time) bool {
	closes := c.entry.closesIdleAt.Load()
	if closes == nil || !c.deadline.After(*closes) {
		return true
	}
	model := c.service.Engine
	if model == nil || model.ReadRate <= 0 || now.After(c.entry.lameDuckEnd(*closes)) {
		return false
	}
	ch, ok := c.entry.choose(c.requirements(), now)
	if !ok {
		return true
	}
	tokens := c.info.answerTokens()
	if tokens == 0 {
		tokens = model.UsualAnswer
	}
	duration := leaveFactor*(ch.first+engine.DecodeTime(model, ch.load, tokens)) + leaveMargin
	if now.Add(duration).Before(*closes) {
		return true
	}
	c.lastChoice = ch
	return false
}
