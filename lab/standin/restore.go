package standin

import "time"

// headerEpoch is the header of all responses with the number of times that the store was restored from a backup.
const headerEpoch = "Store-Era"

// timedChange is a written or removed row with the time of the change.
type timedChange struct {
	at  time.Time
	row Row
}

// Restore resets the store to its state at a time: later changes are lost and their versions are used again. It returns
// the lost rows, each in its last state.
func (s *Store) Restore(until time.Time) (lost []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := 0
	for kept < len(s.history) && !s.history[kept].at.After(until) {
		kept++
	}
	last := make(map[string]Row)
	var order []string
	for _, change := range s.history[kept:] {
		key := change.row.Table + "/" + change.row.Key
		if _, seen := last[key]; !seen {
			order = append(order, key)
		}
		last[key] = change.row
	}
	for _, key := range order {
		lost = append(lost, last[key])
	}
	s.replay(s.history[:kept])
	s.epoch++
	close(s.changed)
	s.changed = make(chan struct{})
	return lost
}

// Rewrite writes lost rows again, each in a transaction of its own.
func (s *Store) Rewrite(rows []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range rows {
		s.apply([]Row{row})
	}
}

// replay rebuilds the store from changes; history that was compacted stays unavailable. The caller holds mu.
func (s *Store) replay(past []timedChange) {
	s.history = past[:len(past):len(past)]
	s.version, s.changes, s.rows = 0, nil, make(map[string]Row)
	for _, change := range past {
		s.version = change.row.SchemaVer
		if change.row.Deleted {
			delete(s.rows, change.row.Table+"/"+change.row.Key)
		} else {
			s.rows[change.row.Table+"/"+change.row.Key] = change.row
		}
		if change.row.SchemaVer > s.compactedTo {
			s.changes = append(s.changes, change.row)
		}
	}
	s.compactedTo = min(s.compactedTo, s.version)
}
