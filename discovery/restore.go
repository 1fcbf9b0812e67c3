package discovery

import (
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/invariant"
)

// A store that is restored from a backup raises its epoch, and its data is older than what is known here until operators and servers
// write again. An older configuration or version is never applied; this file handles the list of servers.

const (
	// departedTTL is how long a server that left is remembered; longer than the age of any backup.
	departedTTL = time.Minute
	// relistDelay is how long a server that left and that a restored store lists again is not used; longer than the entry of a dead
	// server takes to expire.
	// An entry of a dead server expires after three heartbeats, 3.6 s where they come each 1.2 s.
	relistDelay = 5 * time.Second
)

// departed is an incarnation of a server that left, by its start time, and when it left.
type departed struct {
	born int64
	at   time.Time
}

// relisted is a server that left and that a restored store lists again; it is not used before until.
type relisted struct {
	server contract.Server
	until  time.Time
}

// observeEpoch records the store's epoch from a cursor and logs an increase; cursors of data from peers have no epoch. mu is held.
func (v *View) observeEpoch(cursor Cursor) {
	if cursor.Position < 0 || v.epochKnown && cursor.Epoch <= v.epoch {
		return
	}
	if v.epochKnown {
		v.opts.Log.WithField("epoch", int64(cursor.Epoch)).Warn("view: the store came back from a copy; what is known stays in force")
	}
	v.epoch, v.epochKnown = cursor.Epoch, true
}

// filterFullList returns the usable entries of a full list; maybeOld says that the list may be older than what is known. Then a server
// that left is held back until it proves alive, a leaving server stays leaving, and a later incarnation is kept. mu is held.
func (v *View) filterFullList(servers []contract.Server, maybeOld bool, now time.Time) []contract.Server {
	pending := v.relisted
	v.relisted = make(map[string]relisted)
	if !maybeOld && len(pending) == 0 {
		return servers
	}
	lapsed := maybeOld && v.mostLapsed(servers)
	usable := make([]contract.Server, 0, len(servers))
	for _, server := range servers {
		left, hasLeft := v.departed[server.ID]
		old, known := v.servers[server.ID]
		_, missing := v.missing[server.ID]
		prior, isPending := pending[server.ID]
		switch {
		case isPending && !contract.DifferentIncarnations(prior.server.Born, server.Born):
			v.relisted[server.ID] = relisted{server: server, until: prior.until}
			continue
		case !maybeOld:
		case !lapsed && (missing || !known && hasLeft) && !contract.DifferentIncarnations(left.born, server.Born):
			v.relisted[server.ID] = relisted{server: server, until: now.Add(relistDelay)}
			v.opts.Log.WithField("server", server.ID).Info("view: a copy lists a server that left; it is not used yet")
			continue
		case known && contract.DifferentIncarnations(old.Born, server.Born) && server.Born < old.Born:
			server = old
		case known && !contract.DifferentIncarnations(old.Born, server.Born):
			server.Leaving = server.Leaving || old.Leaving
		}
		usable = append(usable, server)
	}
	return usable
}

// mostLapsed reports whether most of the listed servers had disappeared before the restore: then their entries had expired while the
// servers were alive, and holding all of them back would leave none for requests, as it once did for 3 s. mu is held.
func (v *View) mostLapsed(servers []contract.Server) bool {
	gone := 0
	for _, server := range servers {
		_, missing := v.missing[server.ID]
		_, left := v.departed[server.ID]
		if _, known := v.servers[server.ID]; missing || left && !known {
			gone++
		}
	}
	return 2*gone > len(servers)
}

// recordDeparture records that a server left; mu is held.
func (v *View) recordDeparture(id string, now time.Time) {
	if server, known := v.servers[id]; known {
		v.departed[id] = departed{born: server.Born, at: now}
	}
}

// confirmRelisted returns the relisted servers that proved alive, and removes expired departures; mu is held.
func (v *View) confirmRelisted(now time.Time) []contract.Server {
	var alive []contract.Server
	for id, listed := range v.relisted {
		if now.After(listed.until) {
			alive = append(alive, listed.server)
			delete(v.relisted, id)
		}
	}
	for id, left := range v.departed {
		if now.Sub(left.at) > departedTTL {
			delete(v.departed, id)
		}
	}
	return alive
}

// checkEpoch asserts that changes read after a cursor are of the cursor's epoch; data from peers has no position in the history.
func (v *View) checkEpoch(changes bool, requested, received Cursor) {
	holds := !changes || requested.Position < 0 || received.Position < 0 || requested.Epoch == received.Epoch
	v.opts.Checks.Check(holds, invariant.CursorOfItsEpoch, "changes after place %d of epoch %d are of epoch %d", requested.Position, requested.Epoch, received.Epoch)
}
