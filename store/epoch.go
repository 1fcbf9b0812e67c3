package store

import (
	"context"
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Epoch counts the restores of a store from a backup, by the store's own count; 0 if the store reports none. Versions and positions in
// the history are valid in one epoch only, since a restored store reuses them.
type Epoch int64

var epochGauge = metrics.NewGauge("coralstair_store_epoch", nil)

// Epochs tracks the epoch of a store by its responses; the zero value has seen none. It is safe for concurrent use.
type Epochs struct {
	mu      sync.Mutex
	newest  Epoch
	known   bool
	changed chan struct{}
}

// Observe records the epoch of a response. It fails with a StaleEpochError if a later epoch is known, so that the response must be
// dropped. Epochs may be skipped.
func (e *Epochs) Observe(epoch Epoch) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.known && epoch < e.newest:
		return &StaleEpochError{Epoch: epoch, Newest: e.newest}
	case e.known && epoch == e.newest:
		return nil
	}
	e.newest, e.known = epoch, true
	epochGauge.Set(float64(epoch))
	if e.changed != nil {
		close(e.changed)
		e.changed = nil
	}
	return nil
}

// Newest returns the newest epoch of any response.
func (e *Epochs) Newest() Epoch {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// WithEpoch returns a context that is also cancelled when the store's epoch changes: a call that waits for changes after a position of
// an earlier epoch would never return them. The caller must call cancel.
func (e *Epochs) WithEpoch(ctx context.Context, epoch Epoch) (during context.Context, cancel context.CancelFunc) {
	during, cancel = context.WithCancel(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.newest != epoch {
		cancel()
		return during, cancel
	}
	if e.changed == nil {
		e.changed = make(chan struct{})
	}
	changed := e.changed
	go func() {
		select {
		case <-changed:
			cancel()
		case <-during.Done():
		}
	}()
	return during, cancel
}

// StaleEpochError reports a response of an earlier epoch than the newest known one.
type StaleEpochError struct{ Epoch, Newest Epoch }

// Error names both epochs.
func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("stale response of the store's epoch %d after epoch %d", e.Epoch, e.Newest)
}
