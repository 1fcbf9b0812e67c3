package view

import (
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/invariant"
)

// A store may come back from a copy of itself that is some seconds old: its epoch has risen. What it tells then is older than what
// is known here until operators and servers have written theirs again. A newer configuration and newer versions stay in force,
// since an older one is never taken; this file holds what goes for the list of servers.

const (
	// departedFor is how long a server that left is remembered: longer than any copy is old.
	departedFor = time.Minute
	// ghostTime is how long a server that left, and that a copy lists again, is not used: an entry whose server does not live lapses
	// after three of its heartbeats, 3.6 s where they come each 1.2 s, and one that is still there after that lives.
	ghostTime = 5 * time.Second
)

// departed is a life of a server that left, and when.
type departed struct {
	born int64
	at   time.Time
}

// ghost is a server that left, which a copy lists again, and until when it is not used.
type ghost struct {
	server contract.Server
	until  time.Time
}

// enterEpoch notes the store's epoch by a place in its history, and logs when it has risen; what other daemons told has none. mu is
// held.
func (v *View) enterEpoch(cursor Cursor) {
	if cursor.Place < 0 || v.heard && cursor.Epoch <= v.epoch {
		return
	}
	if v.heard {
		v.opts.Log.WithField("epoch", int64(cursor.Epoch)).Warn("view: the store came back from a copy; what is known stays in force")
	}
	v.epoch, v.heard = cursor.Epoch, true
}

// ofWhole returns the entries of a whole list that are to be believed; isCopy says that the list may be older than what is known.
// A server that left stays away until it has shown that it lives, one that was leaving still is, and a later life of a server than
// the copy's stays known. mu is held.
func (v *View) ofWhole(servers []contract.Server, isCopy bool, now time.Time) []contract.Server {
	ghosts := v.ghosts
	v.ghosts = make(map[string]ghost)
	lapsed := isCopy && v.hadLapsed(servers)
	believed := make([]contract.Server, 0, len(servers))
	for _, server := range servers {
		left, hasLeft := v.departed[server.ID]
		old, known := v.servers[server.ID]
		_, missing := v.missing[server.ID]
		g, isGhost := ghosts[server.ID]
		switch {
		case isGhost && !contract.IsAnotherLife(g.server.Born, server.Born):
			v.ghosts[server.ID] = ghost{server: server, until: g.until}
			continue
		case !isCopy:
		case !lapsed && (missing || !known && hasLeft) && !contract.IsAnotherLife(left.born, server.Born):
			v.ghosts[server.ID] = ghost{server: server, until: now.Add(ghostTime)}
			v.opts.Log.WithField("server", server.ID).Info("view: a copy lists a server that left; it is not used yet")
			continue
		case known && contract.IsAnotherLife(old.Born, server.Born) && server.Born < old.Born:
			server = old
		case known && !contract.IsAnotherLife(old.Born, server.Born):
			server.Leaving = server.Leaving || old.Leaving
		}
		believed = append(believed, server)
	}
	return believed
}

// hadLapsed reports whether most of the servers that a copy lists had gone from the list before: then the list had lapsed, not the
// servers left, and to pass over all of them would leave none to take requests (3 s without any in a run of the fault soak). mu is
// held.
func (v *View) hadLapsed(servers []contract.Server) bool {
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

// depart remembers a server that left; mu is held.
func (v *View) depart(id string, now time.Time) {
	if server, known := v.servers[id]; known {
		v.departed[id] = departed{born: server.Born, at: now}
	}
}

// settleGhosts returns the servers of which it has shown that they live, and forgets those that left long ago; mu is held.
func (v *View) settleGhosts(now time.Time) []contract.Server {
	var alive []contract.Server
	for id, g := range v.ghosts {
		if now.After(g.until) {
			alive = append(alive, g.server)
			delete(v.ghosts, id)
		}
	}
	for id, left := range v.departed {
		if now.Sub(left.at) > departedFor {
			delete(v.departed, id)
		}
	}
	return alive
}

// checkEpoch asserts that what is taken as changes after a place in the store's history is of the same epoch; what others told has
// no place there.
func (v *View) checkEpoch(changes bool, asked, told Cursor) {
	holds := !changes || asked.Place < 0 || told.Place < 0 || asked.Epoch == told.Epoch
	v.opts.Checks.Check(holds, invariant.CursorOfItsEpoch, "changes after place %d of epoch %d are of epoch %d", asked.Place, asked.Epoch, told.Epoch)
}
