package daemoncmd

import (
	"context"
	"os"
	"syscall"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/platform"
)

// leaver is a daemon whose planned stop takes time; Leave returns when it is complete or ctx ends.
type leaver interface {
	Leave(ctx context.Context)
}

// handleSignals handles signals until the daemon has left or must stop at once.
func handleSignals(ctx context.Context, signals <-chan os.Signal, path string, logger log.Interface, d daemon) {
	for {
		select {
		case <-ctx.Done():
			return
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				reload(path, logger)
				continue
			}
			logger.WithField("signal", sig.String()).Info("daemon: planned stop")
			if leaver, ok := d.(leaver); ok {
				waitForLeave(ctx, signals, leaver)
			}
			return
		}
	}
}

// waitForLeave runs Leave; a second stop signal cancels it. SIGHUP is ignored meanwhile.
func waitForLeave(ctx context.Context, signals <-chan os.Signal, d leaver) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case sig := <-signals:
				if sig != syscall.SIGHUP {
					cancel()
					return
				}
			}
		}
	}()
	d.Leave(ctx)
}

// reload checks the settings file again. Its values take effect only at the next start.
func reload(path string, logger log.Interface) {
	if _, err := platform.LoadMachine(path); err != nil {
		logger.WithField("cause", err.Error()).Error("daemon: settings cannot be read; the last ones stay")
		return
	}
	logger.Info("daemon: settings read again")
}
