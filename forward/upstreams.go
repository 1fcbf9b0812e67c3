package forward

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/link"
)

// upstreams holds all servers that this entry may call.
type upstreams struct {
	// subsetWeights returns the weights of the servers in the entry's subset by ID; nil puts all servers into the
	// subset.
	subsetWeights func(servers []discovery.ListedServer) map[string]float64
	// limitSharers returns the number of entries that share a server's limit; nil means one.
	limitSharers func() int
	// coldStart returns the cold start of a service's servers, returnedAt when the evacuation of a site was last taken back; if nil, no
	// server is ever cold.
	coldStart  func(service string) coldStart
	returnedAt func(site string) time.Time

	mu   sync.RWMutex
	byID map[string]*upstream
	// The servers of each service inside and outside the entry's subset.
	preferredByService map[string][]*upstream
	fallbackByService  map[string][]*upstream
	// unlisted holds the servers that were recently removed from the list, by ID.
	unlisted map[string]unlistedServer
}

// unlistedTTL is how long a server removed from the list is remembered: its entry may lapse while the store is
// unreachable, and come back without the server's pushback signals.
const unlistedTTL = time.Minute

// unlistedServer is a server that is no longer listed.
type unlistedServer struct {
	up    *upstream
	until time.Time
}

// update applies the list of servers; servers that are still listed keep their state.
func (us *upstreams) update(servers []discovery.ListedServer) {
	var weights map[string]float64
	if us.subsetWeights != nil {
		weights = us.subsetWeights(servers)
	}
	now := clock.Now()
	us.mu.Lock()
	defer us.mu.Unlock()
	old := us.byID
	us.byID = make(map[string]*upstream, len(servers))
	us.preferredByService, us.fallbackByService = make(map[string][]*upstream), make(map[string][]*upstream)
	for _, server := range servers {
		up := cmp.Or(old[server.ID], us.unlisted[server.ID].up)
		isNew := up == nil
		if !isNew && up.isReplacedBy(server.Born) {
			up.abortInFlight()
			isNew = true
		}
		if isNew {
			up = &upstream{}
		}
		weight := 1.0
		if us.subsetWeights != nil {
			weight = weights[server.ID]
		}
		up.applyListing(server, weight)
		us.applyCold(up, isNew, now)
		us.byID[server.ID] = up
		us.add(up, server.Service, weight)
	}
	us.retainUnlisted(old, now)
}

// applyCold applies what the list says of how long a server stays cold.
func (us *upstreams) applyCold(up *upstream, isNew bool, now time.Time) {
	if us.coldStart == nil {
		return
	}
	up.mu.Lock()
	defer up.mu.Unlock()
	up.observeCold(us.coldStart(up.server.Service), isNew, us.returnedAt(up.server.Site), now)
}

// retainUnlisted remembers the servers that are no longer listed and drops expired ones; mu is held.
func (us *upstreams) retainUnlisted(old map[string]*upstream, now time.Time) {
	if us.unlisted == nil {
		us.unlisted = make(map[string]unlistedServer)
	}
	for id, up := range old {
		if us.byID[id] == nil {
			us.unlisted[id] = unlistedServer{up: up, until: now.Add(unlistedTTL)}
		}
	}
	maps.DeleteFunc(us.unlisted, func(id string, u unlistedServer) bool { return us.byID[id] != nil || now.After(u.until) })
}

// add adds a server to its service, inside or outside the subset; mu is held.
func (us *upstreams) add(up *upstream, service string, weight float64) {
	if weight > 0 {
		us.preferredByService[service] = append(us.preferredByService[service], up)
	} else {
		us.fallbackByService[service] = append(us.fallbackByService[service], up)
	}
}

// preferred returns the servers of a service in the entry's subset.
func (us *upstreams) preferred(service string) []*upstream {
	us.mu.RLock()
	defer us.mu.RUnlock()
	return us.preferredByService[service]
}

// fallback returns the servers of a service outside the entry's subset.
func (us *upstreams) fallback(service string) []*upstream {
	us.mu.RLock()
	defer us.mu.RUnlock()
	return us.fallbackByService[service]
}

func (us *upstreams) all() []*upstream {
	us.mu.RLock()
	defer us.mu.RUnlock()
	all := make([]*upstream, 0, len(us.byID))
	for _, up := range us.byID {
		all = append(all, up)
	}
	return all
}

// applyReport applies the report of a server's box; reports of an older incarnation are ignored.
func (us *upstreams) applyReport(report link.Report, now time.Time) {
	up := us.byServer(report.Server)
	if up == nil {
		return
	}
	switch up.compareIncarnation(report.Born) {
	case olderIncarnation:
		return
	case newerIncarnation:
		up = us.replaceRestarted(up, report.Born)
	}
	entries := 1
	if us.limitSharers != nil {
		entries = us.limitSharers()
	}
	up.applyReport(report, entries, now)
	reportsTaken.Inc()
}

// replaceRestarted replaces a restarted server by its new incarnation before the list shows it.
func (us *upstreams) replaceRestarted(old *upstream, born int64) *upstream {
	us.mu.Lock()
	defer us.mu.Unlock()
	up := old.successor(born)
	us.applyCold(up, true, clock.Now())
	us.byID[up.server.ID] = up
	for _, byService := range []map[string][]*upstream{us.preferredByService, us.fallbackByService} {
		ups := slices.Clone(byService[up.server.Service])
		if i := slices.Index(ups, old); i >= 0 {
			ups[i] = up
			byService[up.server.Service] = ups
		}
	}
	old.abortInFlight()
	return up
}

// byServer returns the server with an ID; nil if it is unknown.
func (us *upstreams) byServer(id string) *upstream {
	us.mu.RLock()
	defer us.mu.RUnlock()
	return us.byID[id]
}
