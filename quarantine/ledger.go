package quarantine

import (
	"maps"
	"slices"
	"time"
)

// maxRecords bounds memory; the oldest records are evicted first, those of quarantined requests last.
// A record takes some 3 kB where a server has 15 places.
const maxRecords = 1024

// Ledger keeps exit and response records and derives from them which requests are quarantined. The zero value is empty. It is
// not safe for concurrent use.
type Ledger struct {
	exits     map[string]Exit
	responses map[string]Response
	// learnedAt is when each record was first learned, by its key.
	learnedAt map[string]time.Time
	// versions counts the changes of each record, by its key.
	versions map[string]int
	// keysByIncarnation holds the keys of an incarnation's exit records, incarnations those that exited with a request in flight.
	keysByIncarnation map[string][]string
	incarnations      map[Fingerprint][]string
	// parts tells prompt parts from requests.
	parts       map[Fingerprint]bool
	quarantined map[Fingerprint]bool
	suspects    []suspectPart
}

// Merge merges records and drops removed ones; it reports whether more requests or prompts may be quarantined.
func (l *Ledger) Merge(records Records, now time.Time) bool {
	if l.exits == nil {
		l.exits, l.responses, l.learnedAt = make(map[string]Exit), make(map[string]Response), make(map[string]time.Time)
		l.versions, l.keysByIncarnation, l.incarnations = make(map[string]int), make(map[string][]string), make(map[Fingerprint][]string)
		l.parts = make(map[Fingerprint]bool)
	}
	for _, exit := range records.Exits {
		old := l.exits[exit.Key()]
		if l.track(exit.Key(), !exit.equal(old), now) {
			l.removeExit(old)
			l.addExit(exit)
		}
	}
	for _, response := range records.Responses {
		// Entries write the record independently, so both lists are kept.
		response.Incarnations = slices.Compact(slices.Sorted(slices.Values(slices.Concat(response.Incarnations, l.responses[response.Key()].Incarnations))))
		l.track(response.Key(), !slices.Equal(response.Incarnations, l.responses[response.Key()].Incarnations), now)
		l.responses[response.Key()] = response
	}
	for _, key := range records.Removed {
		l.remove(key)
	}
	l.evict()
	return l.evaluate()
}

// Replace merges the complete set of records and drops all others; it reports as Merge does.
func (l *Ledger) Replace(records Records, now time.Time) bool {
	for _, key := range l.Keys() {
		if !slices.ContainsFunc(records.Exits, func(e Exit) bool { return e.Key() == key }) &&
			!slices.ContainsFunc(records.Responses, func(r Response) bool { return r.Key() == key }) {
			records.Removed = append(records.Removed, key)
		}
	}
	return l.Merge(records, now)
}

// IsQuarantined reports whether a request is quarantined.
func (l *Ledger) IsQuarantined(request Fingerprint) bool { return l.quarantined[request] }

// IsPromptQuarantined reports whether a prompt with these parts is quarantined.
func (l *Ledger) IsPromptQuarantined(parts []Fingerprint) bool { return len(l.matching(parts)) > 0 }

// matching returns the parts for which a prompt is quarantined.
func (l *Ledger) matching(parts []Fingerprint) []suspectPart {
	var matching []suspectPart
	for _, suspect := range l.suspects {
		if suspect.suspects(parts) {
			matching = append(matching, suspect)
		}
	}
	return matching
}

// AnyQuarantined reports whether any request is quarantined.
func (l *Ledger) AnyQuarantined() bool { return len(l.quarantined) > 0 }

// AnyPromptQuarantined reports whether prompts may be quarantined.
func (l *Ledger) AnyPromptQuarantined() bool { return len(l.suspects) > 0 }

// Empty reports whether no server is known to have exited with a request in flight.
func (l *Ledger) Empty() bool { return len(l.incarnations) == 0 }

// IncarnationsBefore returns those of Incarnations whose exit was learned of by a time.
func (l *Ledger) IncarnationsBefore(request Fingerprint, t time.Time) []string {
	return slices.DeleteFunc(l.Incarnations(request), func(incarnation string) bool {
		return l.firstLearned(incarnation).After(t)
	})
}

// Incarnations returns the server incarnations that exited with a request or prompt part in flight and are not cleared by a later response.
func (l *Ledger) Incarnations(request Fingerprint) []string {
	cleared := l.Response(request).Incarnations
	return slices.DeleteFunc(slices.Sorted(slices.Values(l.incarnations[request])), func(incarnation string) bool { return slices.Contains(cleared, incarnation) })
}

// Exit returns an entry's record of an incarnation's exit, an empty one if there is none.
func (l *Ledger) Exit(incarnation, entry string) Exit {
	exit, known := l.exits[Exit{Incarnation: incarnation, Entry: entry}.Key()]
	if !known {
		return Exit{Incarnation: incarnation, Entry: entry}
	}
	return exit
}

// Response returns a request's response record, an empty one if there is none.
func (l *Ledger) Response(request Fingerprint) Response {
	response, known := l.responses[Response{Request: request}.Key()]
	if !known {
		return Response{Request: request}
	}
	return response
}

// Keys returns the keys of all records.
func (l *Ledger) Keys() []string { return slices.Collect(maps.Keys(l.learnedAt)) }

// LearnedBefore returns the keys of records that were learned before a time.
func (l *Ledger) LearnedBefore(t time.Time) []string {
	var keys []string
	for key, at := range l.learnedAt {
		if at.Before(t) {
			keys = append(keys, key)
		}
	}
	return keys
}

// track updates the bookkeeping of a record that may have changed and reports whether it is new or changed.
func (l *Ledger) track(key string, changed bool, now time.Time) bool {
	if _, known := l.learnedAt[key]; !known {
		l.learnedAt[key] = now
		changed = true
	}
	if changed {
		l.versions[key]++
	}
	return changed
}

// addExit indexes an exit record by its incarnation and requests.
func (l *Ledger) addExit(exit Exit) {
	l.exits[exit.Key()] = exit
	l.keysByIncarnation[exit.Incarnation] = append(l.keysByIncarnation[exit.Incarnation], exit.Key())
	for _, suspect := range exit.suspects() {
		if !slices.Contains(l.incarnations[suspect], exit.Incarnation) {
			l.incarnations[suspect] = append(l.incarnations[suspect], exit.Incarnation)
		}
	}
	for _, part := range exit.parts() {
		l.parts[part] = true
	}
}

// removeExit removes an exit record; other entries' records of the same incarnation stay.
func (l *Ledger) removeExit(exit Exit) {
	key := exit.Key()
	if _, known := l.exits[key]; !known {
		return
	}
	delete(l.exits, key)
	l.keysByIncarnation[exit.Incarnation] = slices.DeleteFunc(l.keysByIncarnation[exit.Incarnation], func(other string) bool { return other == key })
	for _, suspect := range exit.suspects() {
		if !slices.ContainsFunc(l.keysByIncarnation[exit.Incarnation], func(other string) bool { return slices.Contains(l.exits[other].suspects(), suspect) }) {
			l.incarnations[suspect] = slices.DeleteFunc(l.incarnations[suspect], func(incarnation string) bool { return incarnation == exit.Incarnation })
		}
		if len(l.incarnations[suspect]) == 0 {
			delete(l.incarnations, suspect)
			delete(l.parts, suspect)
		}
	}
	if len(l.keysByIncarnation[exit.Incarnation]) == 0 {
		delete(l.keysByIncarnation, exit.Incarnation)
	}
}

// Changes returns the records that changed since the versions in sent, by record key, and updates sent.
func (l *Ledger) Changes(sent map[string]int) Records {
	var records Records
	for key := range sent {
		if _, known := l.versions[key]; !known {
			records.Removed = append(records.Removed, key)
			delete(sent, key)
		}
	}
	for key, version := range l.versions {
		if sent[key] == version {
			continue
		}
		sent[key] = version
		if exit, ok := l.exits[key]; ok {
			records.Exits = append(records.Exits, exit)
		}
		if response, ok := l.responses[key]; ok {
			records.Responses = append(records.Responses, response)
		}
	}
	return records
}

func (l *Ledger) remove(key string) {
	l.removeExit(l.exits[key])
	delete(l.responses, key)
	delete(l.learnedAt, key)
	delete(l.versions, key)
}

// evict removes the oldest records beyond maxRecords.
func (l *Ledger) evict() {
	if len(l.learnedAt) <= maxRecords {
		return
	}
	concerns := make(map[string]bool, len(l.learnedAt))
	for key := range l.learnedAt {
		concerns[key] = l.concernsQuarantined(key)
	}
	keys := slices.SortedFunc(maps.Keys(l.learnedAt), func(a, b string) int {
		if concerns[a] != concerns[b] {
			if concerns[b] {
				return -1
			}
			return 1
		}
		return l.learnedAt[a].Compare(l.learnedAt[b])
	})
	for _, key := range keys[:len(keys)-maxRecords] {
		l.remove(key)
	}
}

// concernsQuarantined reports whether a record is the exit record of a quarantined request or prompt part.
func (l *Ledger) concernsQuarantined(key string) bool {
	return slices.ContainsFunc(l.exits[key].suspects(), func(suspect Fingerprint) bool { return l.quarantined[suspect] || l.isSuspect(suspect) })
}

// isSuspect reports whether prompts may be quarantined for a part.
func (l *Ledger) isSuspect(part Fingerprint) bool {
	return slices.ContainsFunc(l.suspects, func(suspect suspectPart) bool { return suspect.part == part })
}

// evaluate recomputes what is quarantined and reports whether that may be more.
func (l *Ledger) evaluate() (added bool) {
	suspects := make(map[Fingerprint][]string)
	for suspect, incarnations := range l.incarnations {
		if len(incarnations) < minUnexplained {
			continue
		}
		if incarnations = l.Incarnations(suspect); len(incarnations) >= minUnexplained {
			suspects[suspect] = incarnations
		}
	}
	oldRequests, oldParts := l.quarantined, l.suspects
	l.quarantined = selectQuarantined(suspects, l.parts)
	l.suspects = l.suspectParts(suspects)
	for request := range l.quarantined {
		added = added || !oldRequests[request]
	}
	return added || slices.ContainsFunc(l.suspects, func(suspect suspectPart) bool { return !slices.ContainsFunc(oldParts, suspect.equal) })
}

// covers reports whether this ledger's record is at least as complete as another ledger's.
func (l *Ledger) covers(key string, other *Ledger) bool {
	if _, known := l.learnedAt[key]; !known {
		return false
	}
	return containsAll(l.exits[key].suspects(), other.exits[key].suspects()) && containsAll(l.responses[key].Incarnations, other.responses[key].Incarnations)
}

// containsAll reports whether all contains every element of some.
func containsAll[T comparable](all, some []T) bool {
	return !slices.ContainsFunc(some, func(one T) bool { return !slices.Contains(all, one) })
}
