package forward

import (
	"time"

	"github.com/coralstair/coralstair/clock"
)

// Resumed enforces the deadlines of requests in progress after the machine was suspended, during which timers stand
// still.
func (e *Entry) Resumed() {
	for _, c := range e.calls.list() {
		time.AfterFunc(clock.Until(c.deadline), c.cancel)
	}
}
