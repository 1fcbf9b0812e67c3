package shortage

import (
	"time"

	"github.com/coralstair/coralstair/contract"
)

// retryThreshold is how far a remaining timeout must be below the longest of its kind to count as a retry.
const retryThreshold = 50 * time.Millisecond

// longestWait admits by the entries' policy, but detects retries by a remaining timeout below the longest of the kind. That
// is exact only if all callers of a kind have the same timeout.
type longestWait struct {
	admissionPolicy
	longest map[string]time.Duration
}

func (s *longestWait) admit(e *contract.Engine, c *caller, p placement, now time.Duration) bool {
	if s.longest == nil {
		s.longest = make(map[string]time.Duration)
	}
	remaining := c.timeout - (now - c.firstTry)
	longest := max(s.longest[c.kind.Name], remaining)
	s.longest[c.kind.Name] = longest
	waited := longest - remaining
	if waited <= retryThreshold {
		waited = 0
	}
	return s.admitAfter(e, c, p, waited, now)
}
