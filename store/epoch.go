package store

import (
	"context"
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Epoch counts how often a store has come back from a copy of itself, by its own count; 0 while it tells none. What one epoch says
// of versions and places in the history holds in that epoch only: a store that goes back gives its versions out again.
type Epoch int64

var epochGauge = metrics.NewGauge("coralstair_store_epoch", nil)

// Epochs follows the epoch of a store by its answers; the zero value has seen none. It is safe for concurrent use.
type Epochs struct {
	mu     sync.Mutex
	newest Epoch
	known  bool
	risen  chan struct{}
}

// Observe takes the epoch that an answer tells; a StaleEpochError says that the answer is of an earlier one and tells nothing
// that holds now. Epochs may be skipped.
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
	if e.risen != nil {
		close(e.risen)
		e.risen = nil
	}
	return nil
}

// Newest returns the newest epoch that an answer told.
func (e *Epochs) Newest() Epoch {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// During returns a context that also ends when the store is found in another epoch than one: a call that waits for changes after
// a place of the earlier one is never answered by them. Cancel frees it.
func (e *Epochs) During(ctx context.Context, epoch Epoch) (during context.Context, cancel context.CancelFunc) {
	during, cancel = context.WithCancel(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.newest != epoch {
		cancel()
		return during, cancel
	}
	if e.risen == nil {
		e.risen = make(chan struct{})
	}
	risen := e.risen
	go func() {
		select {
		case <-risen:
			cancel()
		case <-during.Done():
		}
	}()
	return during, cancel
}

// StaleEpochError says that an answer is of an earlier epoch of the store than others that came.
type StaleEpochError struct{ Epoch, Newest Epoch }

// Error names both epochs.
func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("an answer of the store's epoch %d came after one of epoch %d", e.Epoch, e.Newest)
}
