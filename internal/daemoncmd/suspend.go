package daemoncmd

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/clock"
)

// lookEvery is how often it is looked whether the machine was suspended: as long as that, what a daemon believes may look younger
// than it is.
const lookEvery = 500 * time.Millisecond

// resumer is a daemon with work in progress that has to end by other clocks than its own.
type resumer interface {
	Resumed()
}

// lookForSuspensions returns a part that moves the clock on when the machine was suspended, and tells the daemon then.
func lookForSuspensions(logger log.Interface, d daemon) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		var watch clock.Watch
		ticker := time.NewTicker(lookEvery)
		defer ticker.Stop()
		for {
			if gap := watch.Look(); gap > 0 {
				logger.WithField("for_ms", gap.Milliseconds()).Warn("daemon: the machine was suspended")
				if r, ok := d.(resumer); ok {
					r.Resumed()
				}
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-ticker.C:
			}
		}
	}
}
