package forward

import (
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/quarantine"
)

// A request during which servers repeatedly exited is quarantined: it is sent to no more of them. So are requests whose prompts share the
// part on which servers exit as they begin to respond.

const (
	// answerConfirmed is how long after its first event a response shows that its server survives the prompt.
	answerConfirmed = 250 * time.Millisecond
	// recentAnswer is how long the beginning of a response shows that servers survive its prompt: a part that most prompts share is in
	// flight wherever a server exits.
	recentAnswer = time.Second
)

// fingerprint identifies repeated sends of the same request.
func (c *call) fingerprint() quarantine.Fingerprint {
	c.fpOnce.Do(func() {
		caller := c.teamName()
		if caller == "" {
			caller = c.info.Key
		}
		c.fp = quarantine.FingerprintOf(caller, c.r.Method, c.r.Host, c.r.RequestURI, c.body)
	})
	return c.fp
}

// promptParts returns the IDs of the parts that other prompts may share.
func (c *call) promptParts() []string { return c.entry.cfg.Wire.SharedParts(c.r.Header) }

func (c *call) partFingerprints() []quarantine.Fingerprint {
	c.partFPsOnce.Do(func() { c.partFPs = partFingerprints(c.promptParts()) })
	return c.partFPs
}

func partFingerprints(ids []string) []quarantine.Fingerprint {
	fingerprints := make([]quarantine.Fingerprint, len(ids))
	for i, id := range ids {
		fingerprints[i] = quarantine.PartFingerprint(id)
	}
	return fingerprints
}

func (c *call) quarantined() bool {
	q := c.entry.cfg.Quarantine
	return q.Held(c.fingerprint) || q.HeldPrompt(c.partFingerprints)
}

// tryQuarantined reports whether the request may be sent to one server although its prompt is quarantined.
func (c *call) tryQuarantined() bool {
	q := c.entry.cfg.Quarantine
	c.trial = !q.Held(c.fingerprint) && q.TryPrompt(c.partFingerprints())
	if c.trial {
		c.entry.log.WithFields(log.Fields{"id": c.info.ID, "parts": c.promptParts()}).Info("forward: a held prompt is tried")
	}
	return c.trial
}

// quarantineRetryAfter returns when the request may no longer be quarantined.
func (c *call) quarantineRetryAfter() time.Duration {
	q := c.entry.cfg.Quarantine
	if q.Held(c.fingerprint) {
		return quarantine.Retention
	}
	return q.PromptRetryAfter(c.partFingerprints())
}

// recordResponse records in the quarantine that a server responded to the request; without recorded exits there is nothing
// to clear.
func (c *call) recordResponse(a *attempt) {
	if q := c.entry.cfg.Quarantine; !q.Empty() {
		q.RecordResponse(c.fingerprint())
		q.RecordAnswer(c.partFingerprints(), a.answerBegan())
	}
}

// confirmAnswer records that a server survives the request's prompt, once its stream has gone on for answerConfirmed.
func (c *call) confirmAnswer(a *attempt) {
	q := c.entry.cfg.Quarantine
	if c.answerConfirmed || q.Empty() || clock.Since(a.answerBegan()) < answerConfirmed {
		return
	}
	c.answerConfirmed = true
	q.RecordAnswer(c.partFingerprints(), a.answerBegan())
}

// answerBegan returns when the response certainly had not begun before: at its first event, or when the request was sent.
func (a *attempt) answerBegan() time.Time {
	if a.isStream() {
		return a.inFlight.firstEventTime()
	}
	return a.inFlight.sent
}

// answering returns how long the winning attempt has been answering; 0 without one, or before its first event.
func (c *call) answering(now time.Time) time.Duration {
	c.mu.Lock()
	winner := c.winner
	c.mu.Unlock()
	if winner == nil {
		return 0
	}
	return winner.inFlight.answering(now)
}

// survivedParts returns the prompt parts on which servers have recently begun to respond without exiting.
func (e *Entry) survivedParts(now time.Time) map[string]bool {
	parts := make(map[string]bool)
	for _, c := range e.calls.list() {
		if answering := c.answering(now); answering < answerConfirmed || answering > recentAnswer {
			continue
		}
		for _, id := range c.promptParts() {
			parts[id] = true
		}
	}
	return parts
}

// cancelQuarantined cancels attempts of quarantined requests that have no response yet, before they make more servers
// exit.
func (e *Entry) cancelQuarantined() {
	for _, c := range e.calls.list() {
		if c.quarantined() && !c.trial {
			c.cancelPending(&QuarantinedError{})
		}
	}
}

// cancelPending cancels the attempts whose servers have not begun to respond.
func (c *call) cancelPending(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.pending {
		a.cancel(cause)
	}
}
