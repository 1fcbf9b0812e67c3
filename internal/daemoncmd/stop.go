package daemoncmd

import (
	"context"
	"os"
	"syscall"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/platform"
)

// leaver is a daemon that a planned stop has to wait for.
type leaver interface {
	Leave(ctx context.Context)
}

// stop returns when the daemon has left or must end at once.
func stop(ctx context.Context, signals <-chan os.Signal, path string, logger log.Interface, d daemon) {
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-signals:
			if received == syscall.SIGHUP {
				reload(path, logger)
				continue
			}
			logger.WithField("signal", received.String()).Info("daemon: planned stop")
			if leaver, ok := d.(leaver); ok {
				leave(ctx, signals, leaver)
			}
			return
		}
	}
}

// leave waits until the daemon has left; a second signal to stop ends the waiting.
func leave(ctx context.Context, signals <-chan os.Signal, d leaver) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case received := <-signals:
				if received != syscall.SIGHUP {
					cancel()
					return
				}
			}
		}
	}()
	d.Leave(ctx)
}

// reload reads the settings again; what they hold of this machine's place and addresses only counts at the next start.
func reload(path string, logger log.Interface) {
	if _, err := platform.LoadMachine(path); err != nil {
		logger.WithField("cause", err.Error()).Error("daemon: settings cannot be read; the last ones stay")
		return
	}
	logger.Info("daemon: settings read again")
}
