package fill

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/coralstair/coralstair/discovery"
)

// TestClosingIsToldBeforeTheOrder checks that entries get the full notice before the load order, also when its turn has passed:
// with less, the server refuses requests that entries have just sent.
func TestClosingIsToldBeforeTheOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Config{View: discovery.New(&fakeSource{}, discovery.Options{})})
		began := time.Now()
		for !b.startDraining() {
			time.Sleep(pollInterval)
		}
		if took := time.Since(began); took < drainNotice {
			t.Errorf("the order may be sent %v after draining was reported, want %v", took, drainNotice)
		}
	})
}

// TestTurnsAreTold checks that a turn that is due or has passed is not reported as unknown.
func TestTurnsAreTold(t *testing.T) {
	for name, test := range map[string]struct {
		left, want time.Duration
	}{
		"far away":   {turnHorizon + time.Second, 0},
		"soon":       {time.Second, time.Second},
		"at once":    {10 * time.Millisecond, turnResolution},
		"has passed": {-time.Second, turnResolution},
	} {
		t.Run(name, func(t *testing.T) {
			if got := reportedTurn(test.left); got != test.want {
				t.Errorf("reported as %v, want %v", got, test.want)
			}
		})
	}
}

// TestTurnIsOverWithItsOrder checks that a turn is not reported once its order is sent or its version is dropped: entries
// would avoid a server that accepts requests.
func TestTurnIsOverWithItsOrder(t *testing.T) {
	engine := &fakeEngine{t: t}
	engine.loadVersion(1)
	engine.stageVersion(2)
	past := time.Now().Add(-time.Second)
	newBox := func() *Box {
		b := New(Config{
			View: discovery.New(&fakeSource{}, discovery.Options{}), Engine: engine, Log: &log.Logger{Handler: discard.Default},
		})
		b.draining, b.loadAt = true, past
		return b
	}
	for name, end := range map[string]func(b *Box){
		"the order is sent":  func(b *Box) { b.orderLoad(t.Context(), &update{model: testModel, version: 2}) },
		"new target version": func(b *Box) { b.setTarget(t.Context(), testModel, 3).cancel() },
		"the update is done": func(b *Box) { b.mu.Lock(); b.clearTurn(); b.mu.Unlock() },
		"its pieces are corrupt": func(b *Box) {
			b.pending = &update{model: testModel, version: 1, accepted: true, cancel: func() {}}
			b.loadPending(t.Context())
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBox()
			if end(b); !b.loadAt.IsZero() {
				t.Errorf("a turn %v ago is still reported", time.Since(b.loadAt))
			}
		})
	}
}
