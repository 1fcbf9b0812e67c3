package view

import (
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/contract"
)

// setAway notes that the store does not answer; news says that it did the last time this feed asked.
func (v *View) setAway(news bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.away = v.now()
	if news {
		v.lost++
		v.wake()
	}
}

// setBack notes that the store answers on a feed again.
func (v *View) setBack() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lost--
	v.wake()
}

// takeDeclared takes what is newer; first says that it is the first that is read.
func (v *View) takeDeclared(declared Declared, first bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.enterEpoch(declared.Cursor)
	for _, fault := range declared.Faults {
		configFaults.Inc()
		v.opts.Log.WithField("cause", fault.Error()).Error("view: what was declared cannot be read; the last known stays")
	}
	changed := v.takeConfig(declared.Config)
	for _, target := range declared.Targets {
		at := v.now()
		if first && v.config != nil && v.targets[target.Model] == nil {
			// It is not known when the version was named; the middle of the bound leaves the least error.
			at = at.Add(-v.opts.VersionBound / 2)
		}
		changed = v.name(target, at) || changed
	}
	if changed {
		v.wake()
	}
	return changed
}

// takeConfig takes a configuration that is newer than the one known; mu is held.
func (v *View) takeConfig(cfg *contract.Config) bool {
	if cfg == nil || v.config != nil && cfg.Revision <= v.config.Revision {
		return false
	}
	if v.config == nil {
		v.configured = v.now()
	}
	v.config = cfg
	configRevision.Set(float64(cfg.Revision))
	v.opts.Log.WithFields(log.Fields{"revision": int64(cfg.Revision), "routes": cfg.Routes()}).Info("view: configuration taken")
	return true
}

// name notes that a version was named; mu is held.
func (v *View) name(target contract.Target, at time.Time) bool {
	h := v.targets[target.Model]
	if h == nil {
		h = &history{}
		v.targets[target.Model] = h
	}
	if !h.add(target.Version, at) {
		return false
	}
	v.opts.Log.WithFields(log.Fields{"model": target.Model, "version": int64(target.Version)}).Info("view: version named")
	return true
}

// takeServers takes entries that changed; whole says that they are all there are. The first whole of an epoch may be a copy.
func (v *View) takeServers(servers Servers, whole bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	for _, fault := range servers.Faults {
		listFaults.Inc()
		v.opts.Log.WithField("cause", fault.Error()).Error("view: an entry of the list names no server to use")
	}
	v.enterEpoch(servers.Cursor)
	if whole {
		servers.Present = v.ofWhole(servers.Present, servers.Cursor.Epoch > v.listEpoch && v.listed, now)
	}
	v.listEpoch = max(v.listEpoch, servers.Cursor.Epoch)
	present := make(map[string]bool, len(servers.Present))
	for _, server := range append(v.settleGhosts(now), servers.Present...) {
		present[server.ID] = true
		delete(v.missing, server.ID)
		delete(v.ghosts, server.ID)
		v.noteServer(server)
		v.replace(server)
		v.put(server)
	}
	for _, id := range servers.Unread {
		v.forget(id)
	}
	for _, id := range servers.Gone {
		delete(v.ghosts, id)
		v.miss(id, now)
	}
	if whole {
		for id := range v.servers {
			if !present[id] {
				v.miss(id, now)
			}
		}
	}
	v.dropMissing(now)
	v.listed = true
	v.wake()
}

// dropMissing forgets the servers that have been missing for too long; mu is held.
func (v *View) dropMissing(now time.Time) {
	for id, gap := range v.missing {
		if now.After(gap.until) {
			v.depart(id, now)
			v.forget(id)
		}
	}
}

// forget drops all that is known of a server; mu is held.
func (v *View) forget(id string) {
	v.leaveAddress(id)
	delete(v.missing, id)
	delete(v.servers, id)
	delete(v.replaced, id)
}

// put notes a server as it is listed; mu is held.
func (v *View) put(server contract.Server) {
	if old, known := v.servers[server.ID]; !known || old.Address != server.Address {
		v.leaveAddress(server.ID)
		v.at[server.Address] = append(v.at[server.Address], server.ID)
	}
	v.servers[server.ID] = server
}

// leaveAddress takes a server from its address; mu is held.
func (v *View) leaveAddress(id string) {
	address := v.servers[id].Address
	v.at[address] = slices.DeleteFunc(v.at[address], func(other string) bool { return other == id })
	if len(v.at[address]) == 0 {
		delete(v.at, address)
	}
}

// replace notes that a server that is listed for the first time, in a new life or at a new address has the address of others:
// their lives have ended, though the list tells so only after several heartbeats (2.5 s in a loss of power of all, in which
// callers were sent to them). mu is held.
func (v *View) replace(server contract.Server) {
	old, known := v.servers[server.ID]
	if server.Address == "" || known && old.Address == server.Address && !contract.IsAnotherLife(old.Born, server.Born) {
		return
	}
	delete(v.replaced, server.ID)
	for _, id := range v.at[server.Address] {
		if id != server.ID {
			v.replaced[id] = server.ID
		}
	}
}

// hasSuccessor reports whether another server that is still listed, of a service that is declared, took the address of one; mu
// is held.
func (v *View) hasSuccessor(id string) bool {
	successor, listed := v.servers[v.replaced[id]]
	if !listed || v.config != nil && v.config.Service(successor.Service) == nil {
		return false
	}
	_, missing := v.missing[successor.ID]
	return !missing
}

// noteServer logs a server whose entry is new or tells something new; mu is held.
func (v *View) noteServer(server contract.Server) {
	old, known := v.servers[server.ID]
	if known && old.Leaving == server.Leaving && old.Address == server.Address && old.Born == server.Born {
		return
	}
	v.opts.Log.WithFields(log.Fields{
		"server": server.ID, "address": server.Address, "service": server.Service, "leaving": server.Leaving, "born": server.Born,
	}).Info("view: server listed")
}

// miss notes since when a server is no longer listed; mu is held.
func (v *View) miss(id string, now time.Time) {
	if _, known := v.servers[id]; !known {
		return
	}
	if _, already := v.missing[id]; already {
		return
	}
	grace := lapseGrace
	if v.opts.Drain > 0 {
		grace = max(min(grace, v.opts.Drain-drainMargin), 0)
	}
	if now.Sub(v.away) < awayLately {
		grace = awayGrace
	}
	v.missing[id] = lapse{since: now, until: now.Add(grace)}
	v.opts.Log.WithFields(log.Fields{"server": id, "store_away_ms": now.Sub(v.away).Milliseconds()}).
		Info("view: server no longer listed")
}
