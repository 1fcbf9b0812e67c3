package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/coralstair/coralstair/lab/standin"
)

const (
	// copyWeight is how often a store that goes back is drawn beside the others.
	copyWeight = 6
	// leastCopyAge and copyAgeSpread are how old, in ms, the copy is.
	leastCopyAge  = 500
	copyAgeSpread = 19500
	// rewriteSpread is how much later, in ms, operators and servers write again at most.
	rewriteSpread = 600
)

// copyFault has the store be away and come back from a copy; what operators and servers wrote since is written again at once or
// late, in the order in which it was written or in another.
func (r *rig) copyFault(below func(int) int) func() fault {
	return func() fault {
		age := time.Duration(leastCopyAge+below(copyAgeSpread)) * time.Millisecond
		late := time.Duration(below(rewriteSpread)) * time.Millisecond
		backwards := below(2) == 0
		return fault{
			name: fmt.Sprintf("store from a copy %s old, written again after %s", age, late),
			do:   func() { r.store.Refuse(http.StatusServiceUnavailable) },
			undo: func() { r.comeBack(age, late, backwards) },
		}
	}
}

// comeBack has the store answer again, from a copy.
func (r *rig) comeBack(age, late time.Duration, backwards bool) {
	r.mu.Lock()
	lost := r.store.Restore(latest(time.Now().Add(-age), r.ready))
	r.mu.Unlock()
	r.store.Refuse(0)
	time.Sleep(late)
	if backwards {
		slices.Reverse(lost)
	}
	r.mu.Lock()
	for _, row := range lost {
		if row.Table == standin.TableDeclared {
			r.rewrite(row.Key)
		}
	}
	r.mu.Unlock()
	r.beatAll()
}

// rewrite has the operator write again what stands under a key; mu is held.
func (r *rig) rewrite(key string) {
	if key == standin.KeyConfig {
		r.store.Put(standin.TableDeclared, key, r.configuration())
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
