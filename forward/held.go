package forward

import "github.com/coralstair/coralstair/quarantine"

// A request under which servers have ended goes to no more of them: 20 servers ended 41 times under one caller's request that came
// again at all entries, and with them up to 15 other requests each time.

// fingerprint tells the request when it comes again.
func (c *call) fingerprint() quarantine.Fingerprint {
	c.printOnce.Do(func() {
		caller := c.teamName()
		if caller == "" {
			caller = c.ask.Key
		}
		c.print = quarantine.FingerprintOf(caller, c.r.Method, c.r.Host, c.r.RequestURI, c.body)
	})
	return c.print
}

// held reports whether the request goes to no more servers.
func (c *call) held() bool { return c.entry.cfg.Quarantine.Held(c.fingerprint) }

// noteAnswered notes that a server has answered the request; while no server has ended there is nothing to explain.
func (c *call) noteAnswered() {
	if q := c.entry.cfg.Quarantine; !q.Empty() {
		q.Answered(c.fingerprint())
	}
}

// takeBackHeld takes requests that are held now away from servers that have not begun to answer: one that waits there has not
// ended its server yet.
func (e *Entry) takeBackHeld() {
	for _, c := range e.calls.list() {
		if c.held() {
			c.takeBack(&HeldError{})
		}
	}
}

// takeBack ends the attempts whose servers have not begun to answer.
func (c *call) takeBack(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.asked {
		a.cancel(cause)
	}
}
