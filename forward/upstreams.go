package forward

import (
	"slices"
	"sync"
	"time"

	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/view"
)

// upstreams are all servers that this entry may call.
type upstreams struct {
	mu        sync.RWMutex
	byID      map[string]*upstream
	byService map[string][]*upstream
}

// update takes the list of servers; those that stay keep what is known of them.
func (us *upstreams) update(servers []view.Listed) {
	us.mu.Lock()
	defer us.mu.Unlock()
	old := us.byID
	us.byID = make(map[string]*upstream, len(servers))
	us.byService = make(map[string][]*upstream)
	for _, server := range servers {
		up := old[server.ID]
		if up == nil {
			up = &upstream{}
		}
		if up.hasEnded(server.Born) {
			up.abandon()
			up = &upstream{}
		}
		up.listed(server)
		us.byID[server.ID] = up
		us.byService[server.Service] = append(us.byService[server.Service], up)
	}
}

func (us *upstreams) of(service string) []*upstream {
	us.mu.RLock()
	defer us.mu.RUnlock()
	return us.byService[service]
}

// heard takes a report of a server's box.
func (us *upstreams) heard(report link.Report, now time.Time) {
	up := us.byServer(report.Server)
	if up == nil {
		return
	}
	switch up.lifeOf(report.Born) {
	case lifeEnded:
		return
	case lifeNew:
		up = us.restart(up, report.Born)
	}
	up.heard(report, now)
	reportsTaken.Inc()
}

// restart puts a new life of a server in the place of the one that has ended, before the list tells of it.
func (us *upstreams) restart(old *upstream, born int64) *upstream {
	us.mu.Lock()
	defer us.mu.Unlock()
	up := old.successor(born)
	us.byID[up.server.ID] = up
	ups := slices.Clone(us.byService[up.server.Service])
	if i := slices.Index(ups, old); i >= 0 {
		ups[i] = up
	}
	us.byService[up.server.Service] = ups
	old.abandon()
	return up
}

// byServer returns a server by its id; nil when it is not known.
func (us *upstreams) byServer(id string) *upstream {
	us.mu.RLock()
	defer us.mu.RUnlock()
	return us.byID[id]
}
