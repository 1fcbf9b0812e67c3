package forward

import (
	"net"
	"time"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/subset"
)

// In a large fleet an entry links to a subset of the servers of a model service, which bounds the number of links at
// both ends. It uses the other servers only when none of its subset can take a request. With all links, 204 boxes and 53 entries had
// 10,812 of them, which took three quarters of all processor time.

// entryCountDelay is how long after its start an entry ignores the reported number of entries: while all entries start,
// the number is too low and each would link to all boxes.
const entryCountDelay = 5 * time.Second

// knownEntryCount returns the number of entries, 0 while it is unknown.
func (e *Entry) knownEntryCount() int {
	if clock.Since(e.startedAt) < entryCountDelay {
		return 0
	}
	return e.budget.Entries()
}

// subsetWeights returns the weights of the servers in the entry's subset, by ID.
func (e *Entry) subsetWeights(servers []discovery.ListedServer) map[string]float64 {
	cfg := e.cfg.View.Config()
	weights := make(map[string]float64, len(servers))
	boxes, ids := make(map[string][]subset.Box), make(map[string][]string)
	for _, server := range servers {
		host, _, err := net.SplitHostPort(server.Address)
		engine := cfg != nil && cfg.Service(server.Service) != nil && cfg.Service(server.Service).Engine != nil
		switch {
		case err != nil || !engine:
			weights[server.ID] = 1
		case server.Leaving:
			weights[server.ID] = e.upstreams.weight(server.ID)
		default:
			key := server.Service + "/" + host
			if len(ids[key]) == 0 {
				boxes[server.Service] = append(boxes[server.Service], subset.Box{Host: host, Site: server.Site, Region: e.cfg.Machine.Region(server.Site)})
			}
			ids[key] = append(ids[key], server.ID)
		}
	}
	fleet := subset.Fleet{Entries: e.knownEntryCount(), BoundToRegions: cfg != nil && cfg.BoundToRegions()}
	for service, candidates := range boxes {
		for _, chosen := range subset.Choose(e.cfg.Machine.ID, e.cfg.Machine.Site, candidates, fleet) {
			for _, id := range ids[service+"/"+chosen.Host] {
				weights[id] = chosen.Weight
			}
		}
	}
	return weights
}

// weight returns the number of entries that this one represents at a server; 0 outside its subset.
func (us *upstreams) weight(id string) float64 {
	up := us.byServer(id)
	if up == nil {
		return 0
	}
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.weight
}

// linkInfo returns what determines whether to link to the server's box: its weight and whether requests are in flight.
func (u *upstream) linkInfo() (server contract.Server, weight float64, busy bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.server, u.weight, u.inFlight > 0
}
