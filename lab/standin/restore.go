package standin

import "time"

// headerEpoch tells in all answers of the store how often it came back from a copy.
const headerEpoch = "Store-Era"

// pastChange is a row as it was written or removed, and when.
type pastChange struct {
	at  time.Time
	row Row
}

// Restore has the store come back from the copy of itself that was made at a time: what was written since is gone, and its versions
// are given out again. It returns the rows that were lost, each as it stood last.
func (s *Store) Restore(until time.Time) (lost []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := 0
	for kept < len(s.past) && !s.past[kept].at.After(until) {
		kept++
	}
	last := make(map[string]Row)
	var order []string
	for _, change := range s.past[kept:] {
		key := change.row.Table + "/" + change.row.Key
		if _, seen := last[key]; !seen {
			order = append(order, key)
		}
		last[key] = change.row
	}
	for _, key := range order {
		lost = append(lost, last[key])
	}
	s.replay(s.past[:kept])
	s.epoch++
	close(s.changed)
	s.changed = make(chan struct{})
	return lost
}

// Rewrite writes rows again that were lost.
func (s *Store) Rewrite(rows []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range rows {
		s.change([]Row{row})
	}
}

// replay makes the store what some changes made it; what was compacted stays so as far as the copy had it. mu is held.
func (s *Store) replay(past []pastChange) {
	s.past = past[:len(past):len(past)]
	s.version, s.changes, s.rows = 0, nil, make(map[string]Row)
	for _, change := range past {
		s.version = change.row.SchemaVer
		if change.row.Deleted {
			delete(s.rows, change.row.Table+"/"+change.row.Key)
		} else {
			s.rows[change.row.Table+"/"+change.row.Key] = change.row
		}
		if change.row.SchemaVer > s.forgot {
			s.changes = append(s.changes, change.row)
		}
	}
	s.forgot = min(s.forgot, s.version)
}
