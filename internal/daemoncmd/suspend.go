package daemoncmd

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/clock"
)

// suspensionCheckInterval bounds how long after a suspension a daemon may take stale data for current.
const suspensionCheckInterval = 500 * time.Millisecond

// resumer is a daemon that must end requests whose deadlines passed during a suspension, while its timers stood still.
type resumer interface {
	Resumed()
}

// watchSuspensions returns a component that advances the clock after each suspension and then notifies the daemon.
func watchSuspensions(logger log.Interface, d daemon) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		var watch clock.SuspensionWatch
		ticker := time.NewTicker(suspensionCheckInterval)
		defer ticker.Stop()
		for {
			if gap := watch.Check(); gap > 0 {
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
