package shortage

import (
	"time"

	"github.com/coralstair/coralstair/contract"
)

// returnAfter is how much less a caller still waits than others of its kind that counts as a return.
const returnAfter = 50 * time.Millisecond

// byLongestWait lets tries in as entries do, but takes those for returns whose callers still wait less than the longest of their
// kind: right where all callers are equally patient.
type byLongestWait struct {
	byPolicy
	longest map[string]time.Duration
}

func (w *byLongestWait) letIn(e *contract.Engine, c *caller, o offer, now time.Duration) bool {
	if w.longest == nil {
		w.longest = make(map[string]time.Duration)
	}
	wait := c.patience - (now - c.began)
	longest := max(w.longest[c.kind.Name], wait)
	w.longest[c.kind.Name] = longest
	waited := longest - wait
	if waited <= returnAfter {
		waited = 0
	}
	return w.judge(e, c, o, waited, now)
}
