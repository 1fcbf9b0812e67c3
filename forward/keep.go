package forward

import (
	"net"
	"time"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/subset"
	"github.com/coralstair/coralstair/view"
)

// An entry of a large fleet keeps to some servers of a model service: it hears their boxes, and uses the others only when none of
// its own can take a request. What a link costs is the same for both ends, so that each has a bounded number of them (204 boxes
// and 53 entries had 10,812, which took three quarters of all processor time).

// countTime is how long after its start an entry does not go by how many entries boxes hear: while all of them start each would
// take itself for one of few, and link to all boxes.
const countTime = 5 * time.Second

// countedEntries returns how many entries there are, 0 while that is not known.
func (e *Entry) countedEntries() int {
	if clock.Since(e.began) < countTime {
		return 0
	}
	return e.budget.Entries()
}

// weigh returns the servers that the entry keeps to, by id, with for how many entries it stands there.
func (e *Entry) weigh(servers []view.Listed) map[string]float64 {
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
			at := server.Service + "/" + host
			if len(ids[at]) == 0 {
				boxes[server.Service] = append(boxes[server.Service], subset.Box{Host: host, Site: server.Site})
			}
			ids[at] = append(ids[at], server.ID)
		}
	}
	for service, of := range boxes {
		for _, chosen := range subset.Choose(e.cfg.Machine.ID, e.cfg.Machine.Site, of, e.countedEntries()) {
			for _, id := range ids[service+"/"+chosen.Host] {
				weights[id] = chosen.Weight
			}
		}
	}
	return weights
}

// weight returns for how many entries this one stands at a server; 0 where it does not keep to it.
func (us *upstreams) weight(id string) float64 {
	up := us.byServer(id)
	if up == nil {
		return 0
	}
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.weight
}

// keptTo tells what a link to the box of a server is for: for how many entries this one stands there, and whether requests are in
// progress at it.
func (u *upstream) keptTo() (server contract.Server, weight float64, busy bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.server, u.weight, u.inFlight > 0
}
