package daemoncmd

import (
	"context"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/coralstair/coralstair/supervise"
)

// slowLeaver is a daemon that takes an hour to leave unless it is cancelled.
type slowLeaver struct{ cancelled bool }

func (*slowLeaver) Components() []supervise.Component { return nil }

func (l *slowLeaver) Leave(ctx context.Context) {
	select {
	case <-ctx.Done():
		l.cancelled = true
	case <-time.After(time.Hour):
	}
}

// TestSignalsDuringLeave checks that SIGHUP does not affect a leaving daemon and that a second stop signal cancels the leave.
func TestSignalsDuringLeave(t *testing.T) {
	for name, test := range map[string]struct {
		second    os.Signal
		cancelled bool
	}{
		"SIGHUP":  {syscall.SIGHUP, false},
		"SIGTERM": {syscall.SIGTERM, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				signals := make(chan os.Signal, 2)
				d := &slowLeaver{}
				start := time.Now()
				signals <- syscall.SIGTERM
				time.AfterFunc(time.Minute, func() { signals <- test.second })
				handleSignals(t.Context(), signals, reloader{log: &log.Logger{Handler: discard.Default}}, d)
				want := time.Hour
				if test.cancelled {
					want = time.Minute
				}
				if took := time.Since(start); d.cancelled != test.cancelled || took != want {
					t.Errorf("cancelled %v after %s, want %v after %s", d.cancelled, took, test.cancelled, want)
				}
			})
		})
	}
}
