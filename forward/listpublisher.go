package forward

import (
	"slices"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/link"
)

// listPublisher computes and encodes list changes for all entries that follow this one. It does so once for all of them, since
// comparing thousands of servers takes milliseconds. The zero value has published nothing.
type listPublisher struct {
	// listed holds the published servers, positions their positions in it by ID.
	listed    []contract.Server
	positions map[string]int
	// version is the number of published changes.
	version int
	// delta is the encoded difference between the newest version and the one before, snapshot the full list, encoded on demand.
	delta    link.Encoded
	snapshot link.Encoded
}

// listFollower holds since when an entry follows the list and what was sent to it: the version of the list, 0 for none, the time of the
// latest message, and the quarantine records, nil before the first message.
type listFollower struct {
	since       time.Time
	version     int
	sentAt      time.Time
	sentRecords map[string]int
	declared    declaredFollower
}

// listHeartbeatMessage is an update without changes.
var listHeartbeatMessage = encodeMessage(&link.Servers{})

// update publishes the list if it has changed.
func (lp *listPublisher) update(servers []discovery.ListedServer) {
	if lp.positions == nil {
		lp.positions = make(map[string]int, len(servers))
	}
	var changes link.Servers
	present, at := 0, -1
	for i := range servers {
		server := &servers[i]
		if !server.MissingSince.IsZero() {
			continue
		}
		present++
		at = lp.position(server.ID, at+1)
		if at < len(lp.listed) && lp.listed[at].Equal(server.Server) {
			continue
		}
		changes.Present = append(changes.Present, server.Server)
		if at < len(lp.listed) {
			lp.listed[at] = server.Server
		} else {
			lp.listed, lp.positions[server.ID] = append(lp.listed, server.Server), at
		}
	}
	if present < len(lp.listed) {
		changes.Gone = lp.removeUnlisted(servers)
	}
	if lp.version > 0 && len(changes.Present)+len(changes.Gone) == 0 {
		return
	}
	lp.version++
	lp.delta, lp.snapshot = encodeMessage(&changes), nil
}

// position returns the position of a server in what is published, its end if it is not. A view returns its servers in nearly the same
// order each time, so the position after the previous one is tried first: it is faster than a lookup.
func (lp *listPublisher) position(id string, next int) int {
	if next < len(lp.listed) && lp.listed[next].ID == id {
		return next
	}
	if at, ok := lp.positions[id]; ok {
		return at
	}
	return len(lp.listed)
}

// removeUnlisted removes the servers that are no longer listed and returns their IDs.
func (lp *listPublisher) removeUnlisted(servers []discovery.ListedServer) (gone []string) {
	listed := listedByID(servers)
	lp.listed = slices.DeleteFunc(lp.listed, func(server contract.Server) bool {
		_, stays := listed[server.ID]
		if !stays {
			gone = append(gone, server.ID)
		}
		return !stays
	})
	clear(lp.positions)
	for i, server := range lp.listed {
		lp.positions[server.ID] = i
	}
	return gone
}

// next returns the message that is due for a follower, nil if there is none, and records it as sent.
func (lp *listPublisher) next(f *listFollower, now time.Time) link.Encoded {
	behind := lp.version - f.version
	switch {
	case behind == 0 && now.Sub(f.sentAt) < listHeartbeat:
		return nil
	case behind == 0:
		f.sentAt = now
		return listHeartbeatMessage
	}
	first := f.version == 0
	f.version, f.sentAt = lp.version, now
	if behind == 1 && !first {
		return lp.delta
	}
	if lp.snapshot == nil {
		lp.snapshot = encodeMessage(&link.Servers{Reset: true, Present: lp.listed})
	}
	return lp.snapshot
}

// encodeMessage returns the encoded message, nil if it cannot be encoded: followers that receive nothing read the list themselves.
func encodeMessage(msg link.Message) link.Encoded {
	data, err := link.Prepare(msg)
	if err != nil {
		return nil
	}
	return data
}
