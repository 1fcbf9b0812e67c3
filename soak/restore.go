package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/coralstair/coralstair/lab/standin"
)

const (
	// restoreWeight is how many times as likely a store restore is as one other kind of fault.
	restoreWeight = 6
	// The age of the backup, in ms.
	minBackupAgeMS    = 500
	backupAgeSpreadMS = 19500
	// rewriteDelaySpreadMS bounds the delay until rows are written again.
	rewriteDelaySpreadMS = 600
)

// restoreFault takes the store down and restores it from a backup; rows written since are written again
// at once or late, in their order or reversed.
func (r *rig) restoreFault(intN func(int) int) func() fault {
	return func() fault {
		age := time.Duration(minBackupAgeMS+intN(backupAgeSpreadMS)) * time.Millisecond
		delay := time.Duration(intN(rewriteDelaySpreadMS)) * time.Millisecond
		reversed := intN(2) == 0
		return fault{
			name: fmt.Sprintf("store restored from a backup %s old, rows rewritten after %s", age, delay),
			do:   func() { r.store.SetErrorStatus(http.StatusServiceUnavailable) },
			undo: func() { r.restoreStore(age, delay, reversed) },
		}
	}
}

// restoreStore restores the store from a backup and rewrites the lost rows.
func (r *rig) restoreStore(age, delay time.Duration, reversed bool) {
	r.mu.Lock()
	lost := r.store.Restore(latest(time.Now().Add(-age), r.startedAt))
	r.mu.Unlock()
	r.store.SetErrorStatus(0)
	time.Sleep(delay)
	if reversed {
		slices.Reverse(lost)
	}
	r.mu.Lock()
	for _, row := range lost {
		if row.Table == standin.TableDeclared {
			r.rewriteRow(row.Key)
		}
	}
	r.mu.Unlock()
	r.heartbeatAll()
}

// rewriteRow writes the current value of a declared key again; r.mu must be held.
func (r *rig) rewriteRow(key string) {
	if key == standin.KeyConfig {
		r.store.Put(standin.TableDeclared, key, r.config())
		return
	}
	r.store.Put(standin.TableDeclared, key, standin.Target{Model: model, Version: r.version})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
