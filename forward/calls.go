package forward

import (
	"maps"
	"slices"
	"sync"
)

// calls are the requests in progress that passed quarantine.
type calls struct {
	mu  sync.Mutex
	all map[*call]struct{}
}

func (cs *calls) add(c *call) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.all == nil {
		cs.all = make(map[*call]struct{})
	}
	cs.all[c] = struct{}{}
}

func (cs *calls) remove(c *call) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.all, c)
}

func (cs *calls) list() []*call {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return slices.Collect(maps.Keys(cs.all))
}
