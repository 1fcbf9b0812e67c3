package discovery

import (
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/store"
)

// recordUnreachable records a failed call to the store; first marks the first failure in a row on this feed.
func (v *View) recordUnreachable(first bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastFailure = v.now()
	if first {
		v.lostFeeds++
		v.notify()
	}
}

// recordReachable records that the store responds on a feed again.
func (v *View) recordReachable() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lostFeeds--
	v.notify()
}

// applyDeclared applies what is newer and reports whether anything was; first marks the first read, full one of all that is declared.
func (v *View) applyDeclared(declared Declared, first, full bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.observeEpoch(declared.Cursor)
	for _, fault := range declared.Errors {
		configFaults.Inc()
		v.opts.Log.WithField("cause", fault.Error()).Error("view: what was declared cannot be read; the last known stays")
	}
	changed := v.applyConfig(declared.Config)
	changed = v.applyEvacuations(declared, full) || changed
	for _, target := range declared.Targets {
		if v.targets[target.Model].newest() >= target.Version {
			continue
		}
		v.namingsMissed = v.namingsMissed || full
		notBefore := declared.NotBefore[target]
		changed = v.addTarget(v.observeDeclared(target, notBefore, first), !first || notBefore != 0) || changed
	}
	if changed {
		v.notify()
	}
	return changed
}

// observeDeclared returns a target that was read from the source; what a daemon finds at its first read may have been named at any time
// before. mu is held.
func (v *View) observeDeclared(target contract.Target, notBefore store.Time, first bool) ObservedTarget {
	observed := ObservedTarget{Target: target, NotBefore: notBefore}
	if at, ok := v.opts.Timeline.Local(notBefore); ok {
		observed.At = at
	} else if v.opts.Timeline == nil && !first {
		observed.At = v.now()
	}
	return observed
}

// applyConfig applies a configuration if it is newer than the known one, and reports whether it was; mu is held.
func (v *View) applyConfig(cfg *contract.Config) bool {
	if cfg == nil || v.config != nil && cfg.Revision <= v.config.Revision {
		return false
	}
	if v.config == nil {
		v.configuredAt = v.now()
	}
	v.config = cfg
	configRevision.Set(float64(cfg.Revision))
	v.opts.Log.WithFields(log.Fields{"revision": int64(cfg.Revision), "routes": cfg.Routes()}).Info("view: configuration taken")
	return true
}

// addTarget adds a target version or corrects when it was named, and reports whether that changed anything; own says that this daemon
// followed the store when it was named, and records it. mu is held.
func (v *View) addTarget(target ObservedTarget, own bool) bool {
	h := v.targets[target.Model]
	if h == nil {
		h = &history{}
		v.targets[target.Model] = h
	}
	changed, newest := h.add(namedVersion{
		version: target.Version, notBefore: target.NotBefore, at: target.At, unrecorded: own,
	})
	if !changed {
		return false
	}
	line := v.opts.Log.WithFields(log.Fields{
		"model": target.Model, "version": int64(target.Version), "store_ms": int64(target.NotBefore), "known": !target.At.IsZero(), "own": own,
	})
	if !target.At.IsZero() {
		line = line.WithField("ago_ms", v.now().Sub(target.At).Milliseconds())
	}
	if newest {
		line.Info("view: version named")
	} else {
		line.Info("view: naming time of a version corrected")
	}
	return true
}

// serversPerLine is how many servers one log line names; up to so many changes at once have a line each.
const serversPerLine = 50

// applyServers applies changed entries, or all of them if full. The first full list of an epoch may be older than what is known.
func (v *View) applyServers(servers Servers, full bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	for _, fault := range servers.Errors {
		listFaults.Inc()
		v.opts.Log.WithField("cause", fault.Error()).Error("view: an entry of the list names no server to use")
	}
	v.observeEpoch(servers.Cursor)
	if full {
		servers.Present = v.filterFullList(servers.Present, servers.Cursor.Epoch > v.listEpoch && v.listKnown, now)
	}
	v.listEpoch = max(v.listEpoch, servers.Cursor.Epoch)
	present := make(map[string]bool, len(servers.Present))
	if len(v.servers) == 0 {
		v.servers, v.idsByAddress = make(map[string]contract.Server, len(servers.Present)), make(map[string][]string, len(servers.Present))
	}
	for _, listed := range [][]contract.Server{v.confirmRelisted(now), servers.Present} {
		v.logServers(listed)
		for _, server := range listed {
			present[server.ID] = true
			delete(v.missing, server.ID)
			delete(v.relisted, server.ID)
			v.markReplaced(server)
			v.putServer(server)
		}
	}
	for _, id := range servers.Unreadable {
		v.removeServer(id)
	}
	for _, id := range servers.Removed {
		delete(v.relisted, id)
		v.markMissing(id, now)
	}
	if full {
		for id := range v.servers {
			if !present[id] {
				v.markMissing(id, now)
			}
		}
	}
	v.removeExpired(now)
	v.listKnown = true
	v.notify()
}

// removeExpired removes the servers that have been missing for too long; mu is held.
func (v *View) removeExpired(now time.Time) {
	for id, gap := range v.missing {
		if now.After(gap.until) {
			v.recordDeparture(id, now)
			v.removeServer(id)
		}
	}
}

// removeServer removes a server from all maps; mu is held.
func (v *View) removeServer(id string) {
	v.unindexAddress(id)
	delete(v.missing, id)
	delete(v.servers, id)
	delete(v.replacedBy, id)
}

// putServer stores a listed server and indexes its address; mu is held.
func (v *View) putServer(server contract.Server) {
	if old, known := v.servers[server.ID]; !known || old.Address != server.Address {
		v.unindexAddress(server.ID)
		v.idsByAddress[server.Address] = append(v.idsByAddress[server.Address], server.ID)
	}
	v.servers[server.ID] = server
}

// unindexAddress removes a server from the index of addresses; mu is held.
func (v *View) unindexAddress(id string) {
	address := v.servers[id].Address
	v.idsByAddress[address] = slices.DeleteFunc(v.idsByAddress[address], func(other string) bool { return other == id })
	if len(v.idsByAddress[address]) == 0 {
		delete(v.idsByAddress, address)
	}
}

// markReplaced marks other servers at the address of a server that is new, restarted or moved as replaced: they have ended, though
// their entries expire only after several missed heartbeats, 2.5 s in which requests would be sent to them. mu is held.
func (v *View) markReplaced(server contract.Server) {
	old, known := v.servers[server.ID]
	if server.Address == "" || known && old.Address == server.Address && !contract.DifferentIncarnations(old.Born, server.Born) {
		return
	}
	delete(v.replacedBy, server.ID)
	for _, id := range v.idsByAddress[server.Address] {
		if id != server.ID {
			v.replacedBy[id] = server.ID
		}
	}
}

// isReplaced reports whether another listed server, of a declared service, has taken over the server's address; mu is held.
func (v *View) isReplaced(id string) bool {
	successor, listed := v.servers[v.replacedBy[id]]
	if !listed || v.config != nil && v.config.Service(successor.Service) == nil {
		return false
	}
	_, missing := v.missing[successor.ID]
	return !missing
}

// logServers logs those of listed servers whose entries are new or have changed. Many share a line, so that a whole list does not use up
// all lines of a second. mu is held.
func (v *View) logServers(listed []contract.Server) {
	var changed []int
	for i, server := range listed {
		old, known := v.servers[server.ID]
		if !known || old.Leaving != server.Leaving || old.Address != server.Address || old.Born != server.Born {
			changed = append(changed, i)
		}
	}
	if len(changed) > serversPerLine {
		for chunk := range slices.Chunk(changed, serversPerLine) {
			v.logServersTogether(listed, chunk)
		}
		return
	}
	for _, i := range changed {
		server := listed[i]
		v.opts.Log.WithFields(log.Fields{
			"server": server.ID, "address": server.Address, "service": server.Service, "leaving": server.Leaving, "born": server.Born,
		}).Info("view: server listed")
	}
}

// logServersTogether logs the listed servers with the given indexes in one line.
func (v *View) logServersTogether(listed []contract.Server, indexes []int) {
	texts := make([]string, len(indexes))
	for i, index := range indexes {
		server := listed[index]
		texts[i] = server.ID + " " + server.Address
		if server.Leaving {
			texts[i] += " leaving"
		}
	}
	v.opts.Log.WithField("servers", texts).Info("view: servers listed")
}

// markMissing starts the grace period of a server that is no longer listed; mu is held.
func (v *View) markMissing(id string, now time.Time) {
	if _, known := v.servers[id]; !known {
		return
	}
	if _, already := v.missing[id]; already {
		return
	}
	grace := missingGrace
	if v.opts.DrainTimeout > 0 {
		grace = max(min(grace, v.opts.DrainTimeout-drainMargin), 0)
	}
	if now.Sub(v.lastFailure) < outageWindow {
		grace = outageGrace
	}
	v.missing[id] = absence{since: now, until: now.Add(grace)}
	v.opts.Log.WithFields(log.Fields{"server": id, "store_away_ms": now.Sub(v.lastFailure).Milliseconds()}).
		Info("view: server no longer listed")
}
