package daemoncmd

import (
	"context"
	"os"
	"syscall"
)

// leaver is a daemon whose planned stop takes time; Leave returns when it is complete or ctx ends.
type leaver interface {
	Leave(ctx context.Context)
}

// handleSignals handles signals until the daemon has left or must stop at once.
func handleSignals(ctx context.Context, signals <-chan os.Signal, reload reloader, d daemon) {
	for {
		select {
		case <-ctx.Done():
			return
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				reload.run()
				continue
			}
			reload.log.WithField("signal", sig.String()).Info("daemon: planned stop")
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
