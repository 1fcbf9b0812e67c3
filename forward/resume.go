package forward

import (
	"time"

	"github.com/coralstair/coralstair/clock"
)

// Resumed has the requests in progress end in time after the machine was suspended: timers stand still meanwhile, and callers do
// not. Without it a request is held for as long again as the machine was suspended.
func (e *Entry) Resumed() {
	for _, c := range e.calls.list() {
		time.AfterFunc(clock.Until(c.ends), c.cancel)
	}
}
