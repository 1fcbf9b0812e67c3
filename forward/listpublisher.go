package forward

import (
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/link"
)

// listPublisher computes and encodes list changes for all entries that follow this one. It does so once for all of them, since
// comparing thousands of servers takes milliseconds. The zero value has published nothing.
type listPublisher struct {
	listed map[string]contract.Server
	// version is the number of published changes.
	version int
	// delta is the encoded difference between the newest version and the one before, snapshot the full list, encoded on demand.
	delta    link.Encoded
	snapshot link.Encoded
}

// listFollower holds what was sent to an entry that follows the list: the version of the list, 0 for none, the time of the latest
// message, and the quarantine records, nil before the first message.
type listFollower struct {
	version     int
	sentAt      time.Time
	sentRecords map[string]int
	declared    declaredFollower
}

// listHeartbeatMessage is an update without changes.
var listHeartbeatMessage = encodeMessage(&link.Servers{})

// update publishes the list if it has changed.
func (lp *listPublisher) update(servers []discovery.ListedServer) {
	if lp.listed == nil {
		lp.listed = make(map[string]contract.Server, len(servers))
	}
	var changes link.Servers
	present := 0
	for _, server := range servers {
		if !server.MissingSince.IsZero() {
			continue
		}
		present++
		if known, ok := lp.listed[server.ID]; !ok || !known.Equal(server.Server) {
			changes.Present = append(changes.Present, server.Server)
			lp.listed[server.ID] = server.Server
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

// removeUnlisted removes the servers that are no longer listed and returns their IDs.
func (lp *listPublisher) removeUnlisted(servers []discovery.ListedServer) (gone []string) {
	listed := listedByID(servers)
	for id := range lp.listed {
		if _, stays := listed[id]; !stays {
			gone = append(gone, id)
			delete(lp.listed, id)
		}
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
		all := make([]contract.Server, 0, len(lp.listed))
		for _, server := range lp.listed {
			all = append(all, server)
		}
		lp.snapshot = encodeMessage(&link.Servers{Reset: true, Present: all})
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
