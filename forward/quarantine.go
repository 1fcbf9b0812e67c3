package forward

import "github.com/coralstair/coralstair/quarantine"

// A request during which servers repeatedly exited is quarantined: it is sent to no more of them.

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

func (c *call) quarantined() bool { return c.entry.cfg.Quarantine.Held(c.fingerprint) }

// recordResponse records in the quarantine that a server responded to the request; without recorded exits there is nothing
// to clear.
func (c *call) recordResponse() {
	if q := c.entry.cfg.Quarantine; !q.Empty() {
		q.RecordResponse(c.fingerprint())
	}
}

// cancelQuarantined cancels attempts of quarantined requests that have no response yet, before they make more servers
// exit.
func (e *Entry) cancelQuarantined() {
	for _, c := range e.calls.list() {
		if c.quarantined() {
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
