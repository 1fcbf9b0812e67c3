package forward

import (
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/clock"
)

// noteStep keeps what became of an attempt for the request's line in the log, and what it says of the server.
func (c *call) noteStep(a *attempt, result step, err error) {
	if c.r.Context().Err() != nil {
		// The caller has gone; that says nothing of the server.
		return
	}
	reason, ejection := a.choice.up.after(result, err, clock.Now())
	lost := a.brokenOff(result, err)
	switch {
	case lost:
		c.entry.noteBroken(a, err)
	case result == stepFailed, result == stepDone && err == nil:
		c.noteAnswered()
	}
	if err != nil {
		reason += ": " + err.Error()
	}
	c.mu.Lock()
	c.story = append(c.story, a.choice.server.ID+" "+reason)
	c.lost = c.lost || lost
	c.mu.Unlock()
	c.logEjection(a, ejection, reason)
}

// logEjection logs that a server gets nothing for a while.
func (c *call) logEjection(a *attempt, ejection time.Duration, reason string) {
	if ejection <= 0 {
		return
	}
	c.entry.log.WithFields(log.Fields{"server": a.choice.server.ID, "for_ms": ejection.Milliseconds(), "cause": reason}).
		Info("forward: server ejected")
}

// after notes what became of an attempt at the server; it returns that in a word, and for how long the server is now left
// alone.
func (u *upstream) after(result step, err error, now time.Time) (reason string, ejection time.Duration) {
	switch {
	case result == stepNotRun:
		return "not-run", 0
	case result == stepFailed:
		return "failed", 0
	case result == stepDone && err != nil:
		return "done", u.failed(now)
	case result == stepDone:
		u.succeeded()
		return "done", 0
	case errors.As(err, new(*HandedOnError)), errors.As(err, new(*SilentError)), errors.As(err, new(*OverdueError)),
		errors.As(err, new(*HeldError)):
		return "left", 0
	default:
		return "lost", u.failed(now)
	}
}

// refuse answers with a problem of the entry's own.
func (c *call) refuse(status int, slug, detail string, after time.Duration, cause error) {
	if status == http.StatusServiceUnavailable {
		c.noteRefused()
	}
	c.entry.refuse(c.w, c.ask.ID, status, slug, detail, after)
	c.outcome(slug, status, cause)
}

// outcome writes the request's line in the log and counts it.
func (c *call) outcome(outcome string, status int, cause error) {
	took := clock.Since(c.started)
	countOutcome(c.route.Name, outcome)
	answerTime.Update(took.Seconds())
	c.mu.Lock()
	defer c.mu.Unlock()
	fields := log.Fields{
		"id": c.ask.ID, "route": c.route.Name, "team": c.teamName(), "revision": int64(c.config),
		"outcome": outcome, "status": status, "ms": took.Milliseconds(), "first_ms": c.first.Milliseconds(),
		"server": c.last.server.ID, "predicted_ms": c.last.first.Milliseconds(),
		"writing": c.last.load.Writing, "reading": c.last.load.Reading, "attempts": c.offered + c.refused, "waited_ms": c.waited.Milliseconds(),
		"goal_ms": c.route.Goal.Milliseconds(), "report_ms": c.last.reportAge.Milliseconds(),
	}
	if cause != nil {
		fields["cause"] = cause.Error()
	}
	if c.offered+c.refused > 1 {
		fields["tries"] = c.story
	}
	if c.lost {
		fields["fingerprint"] = c.fingerprint().String()
	}
	c.entry.log.WithFields(fields).Info("request")
}
