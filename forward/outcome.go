package forward

import (
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/clock"
)

// recordResult records an attempt's result for the request's log line, the server's health and the quarantine.
func (c *call) recordResult(a *attempt, result attemptResult, err error) {
	if c.r.Context().Err() != nil {
		// A cancellation by the caller says nothing about the server.
		return
	}
	reason, ejection := a.choice.upstream.recordResult(result, err, clock.Now())
	lost := a.connectionLost(result, err)
	switch {
	case lost:
		c.entry.awaitExitCheck(a, err)
	case result == resultFailed, result == resultDone && err == nil:
		c.recordResponse(a)
	}
	if err != nil {
		reason += ": " + err.Error()
	}
	if result != resultDone || err != nil {
		reason += " after " + clock.Since(a.inFlight.sent).Round(time.Millisecond).String()
	}
	if lost && a.connIdle > 0 {
		reason += ", connection was idle for " + a.connIdle.Round(time.Millisecond).String()
	}
	c.mu.Lock()
	c.attemptLog = append(c.attemptLog, a.choice.server.ID+" "+reason)
	c.connLost = c.connLost || lost
	c.mu.Unlock()
	c.logEjection(a, ejection, reason)
}

func (c *call) logEjection(a *attempt, ejection time.Duration, reason string) {
	if ejection <= 0 {
		return
	}
	c.entry.log.WithFields(log.Fields{"server": a.choice.server.ID, "for_ms": ejection.Milliseconds(), "cause": reason}).
		Info("forward: server ejected")
}

// recordResult updates the server's health; it returns the result's name in logs and how long the server is now ejected.
func (u *upstream) recordResult(result attemptResult, err error, now time.Time) (reason string, ejection time.Duration) {
	switch {
	case result == resultNotRun:
		return "not-run", 0
	case result == resultFailed:
		return "failed", 0
	case result == resultDone && err != nil:
		return "done", u.recordFailure(now)
	case result == resultDone:
		u.recordSuccess()
		return "done", 0
	case errors.As(err, new(*SupersededError)), errors.As(err, new(*SilentServerError)), errors.As(err, new(*VersionDeadlineError)),
		errors.As(err, new(*QuarantinedError)):
		return "left", 0
	default:
		return "lost", u.recordFailure(now)
	}
}

// refuse responds with an error of the entry's own.
func (c *call) refuse(status int, slug, detail string, after time.Duration, cause error) {
	if status == http.StatusServiceUnavailable {
		c.announceRefusal()
	}
	c.entry.refuse(c.w, c.info.ID, status, slug, detail, after)
	c.outcome(slug, status, cause)
}

// outcome logs and counts the finished request.
func (c *call) outcome(outcome string, status int, cause error) {
	took := clock.Since(c.started)
	countOutcome(c.route.Name, outcome)
	answerTime.Update(took.Seconds())
	c.mu.Lock()
	defer c.mu.Unlock()
	fields := log.Fields{
		"id": c.info.ID, "route": c.route.Name, "team": c.teamName(), "revision": int64(c.config),
		"outcome": outcome, "status": status, "ms": took.Milliseconds(), "first_ms": c.firstEventAfter.Milliseconds(),
		"server": c.lastChoice.server.ID, "predicted_ms": c.lastChoice.first.Milliseconds(),
		"writing": c.lastChoice.load.Decoding, "reading": c.lastChoice.load.Prefilling, "attempts": c.sends + c.refusalCount, "waited_ms": c.sinceFirst.Milliseconds(),
		"goal_ms": c.route.Goal.Milliseconds(), "report_ms": c.lastChoice.reportAge.Milliseconds(),
	}
	if c.lastChoice.version != 0 {
		fields["version"] = int64(c.lastChoice.version)
	}
	if c.lastChoice.older {
		fields["version_left_ms"] = c.lastChoice.versionLeft.Milliseconds()
	}
	if c.ranked {
		fields["rank"], fields["ahead"] = c.rank, c.lastChoice.ahead.Prefilling
	}
	if cause != nil {
		fields["cause"] = cause.Error()
	}
	if c.sends+c.refusalCount > 1 || outcome != "answered" && len(c.attemptLog) > 0 {
		fields["tries"] = c.attemptLog
	}
	if (c.mayHaveRun || c.stream != nil) && errors.As(cause, new(*NoServerError)) {
		want := c.requirements()
		if c.stream != nil {
			want.version = c.stream.version
		}
		fields["rejected"] = c.entry.rejections(want, clock.Now())
	}
	if c.share != nil {
		fields["rank"], fields["bounded"], fields["used_ms"] = c.rank, c.share.Bounded, c.share.Admitted.Milliseconds()
	}
	if c.connLost {
		fields["fingerprint"] = c.fingerprint().String()
		fields["parts"] = c.promptParts()
	}
	c.entry.log.WithFields(fields).Info("request")
}
