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

// slowLeaver is a daemon that takes an hour to leave unless it is told to end.
type slowLeaver struct{ cut bool }

func (*slowLeaver) Parts() []supervise.Part { return nil }

func (l *slowLeaver) Leave(ctx context.Context) {
	select {
	case <-ctx.Done():
		l.cut = true
	case <-time.After(time.Hour):
	}
}

// TestSignalsDuringALeave proves that SIGHUP changes nothing while a daemon leaves, and that a second signal to stop ends it at
// once.
func TestSignalsDuringALeave(t *testing.T) {
	for name, test := range map[string]struct {
		second os.Signal
		cut    bool
	}{
		"SIGHUP":  {syscall.SIGHUP, false},
		"SIGTERM": {syscall.SIGTERM, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				signals := make(chan os.Signal, 2)
				d := &slowLeaver{}
				began := time.Now()
				signals <- syscall.SIGTERM
				time.AfterFunc(time.Minute, func() { signals <- test.second })
				stop(t.Context(), signals, "", &log.Logger{Handler: discard.Default}, d)
				want := time.Hour
				if test.cut {
					want = time.Minute
				}
				if took := time.Since(began); d.cut != test.cut || took != want {
					t.Errorf("cut %v after %s, want %v after %s", d.cut, took, test.cut, want)
				}
			})
		})
	}
}
