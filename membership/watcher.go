package membership

import (
	"context"
	"math/rand/v2"
	"reflect"
	"sync"
	"time"

	"github.com/apex/log"
)

// DefaultInterval is the default polling interval.
const DefaultInterval = 2 * time.Second

// List reads the platform's list.
type List interface {
	Members(ctx context.Context) ([]Member, error)
}

// Watcher keeps the members of one fleet as last read, also while the list is unavailable.
type Watcher struct {
	list     List
	fleet    string
	interval time.Duration

	mu      sync.Mutex
	members []Member
	read    bool
	changed chan struct{}
}

// New returns a watcher without members; an interval of 0 means the default.
func New(list List, fleet string, interval time.Duration) *Watcher {
	if interval == 0 {
		interval = DefaultInterval
	}
	return &Watcher{list: list, fleet: fleet, interval: interval, changed: make(chan struct{})}
}

// Boxes returns the boxes on the list that are not leaving.
func (w *Watcher) Boxes() []Member {
	var boxes []Member
	for _, member := range w.Members() {
		if member.Role == RoleBox && !member.Leaving {
			boxes = append(boxes, member)
		}
	}
	return boxes
}

// Changed returns a channel that is closed at the next change of the members.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// Members returns all members of the fleet as last read; the caller must not change them.
func (w *Watcher) Members() []Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.members
}

// Synced reports whether the list has been read.
func (w *Watcher) Synced() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.read
}

// Serve polls the list until ctx ends.
func (w *Watcher) Serve(ctx context.Context) error {
	for {
		w.refresh(ctx)
		wait := w.interval/2 + rand.N(w.interval)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
}

func (w *Watcher) refresh(ctx context.Context) {
	all, err := w.list.Members(ctx)
	if err != nil {
		log.WithError(err).Debug("membership: list not read")
		return
	}
	var members []Member
	for _, member := range all {
		if member.Fleet == w.fleet {
			members = append(members, member)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.read && reflect.DeepEqual(members, w.members) {
		return
	}
	w.read = true
	w.members = members
	close(w.changed)
	w.changed = make(chan struct{})
}
