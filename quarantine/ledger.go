package quarantine

import (
	"maps"
	"slices"
	"time"
)

// mostRecords bounds what is kept, some 3 kB each where a server has 15 places; beyond it the oldest are forgotten, those of requests
// that are held last.
const mostRecords = 1024

// Ledger is what is known of ends of servers and decides by it which requests are held; the zero value knows nothing. It is not
// safe for concurrent use.
type Ledger struct {
	ends    map[string]End
	answers map[string]Answer
	// since is when each record was learned, by its key.
	since map[string]time.Time
	// versions tell how often each record has changed, by its key.
	versions map[string]int
	// told holds the keys of the records of a life, lives those that ended with a request in progress.
	told  map[string][]string
	lives map[Fingerprint][]string
	held  map[Fingerprint]bool
}

// Take learns records and forgets those that are gone; it reports whether another request is held now.
func (l *Ledger) Take(records Records, now time.Time) bool {
	if l.ends == nil {
		l.ends, l.answers, l.since = make(map[string]End), make(map[string]Answer), make(map[string]time.Time)
		l.versions, l.told, l.lives = make(map[string]int), make(map[string][]string), make(map[Fingerprint][]string)
	}
	for _, end := range records.Ends {
		old := l.ends[end.Key()]
		if l.learned(end.Key(), !slices.Equal(end.Requests, old.Requests), now) {
			l.removeEnd(old)
			l.addEnd(end)
		}
	}
	for _, answer := range records.Answers {
		// Entries write it independently of one another.
		answer.Lives = slices.Compact(slices.Sorted(slices.Values(slices.Concat(answer.Lives, l.answers[answer.Key()].Lives))))
		l.learned(answer.Key(), !slices.Equal(answer.Lives, l.answers[answer.Key()].Lives), now)
		l.answers[answer.Key()] = answer
	}
	for _, key := range records.Gone {
		l.forget(key)
	}
	l.bound()
	return l.judge()
}

// Reset takes records that are all there are.
func (l *Ledger) Reset(records Records, now time.Time) bool {
	for _, key := range l.Keys() {
		if !slices.ContainsFunc(records.Ends, func(e End) bool { return e.Key() == key }) &&
			!slices.ContainsFunc(records.Answers, func(a Answer) bool { return a.Key() == key }) {
			records.Gone = append(records.Gone, key)
		}
	}
	return l.Take(records, now)
}

// Held reports whether a request is kept from all servers.
func (l *Ledger) Held(request Fingerprint) bool { return l.held[request] }

// AnyHeld reports whether any request is held.
func (l *Ledger) AnyHeld() bool { return len(l.held) > 0 }

// Empty reports whether no server has ended with a request in progress, as far as is known.
func (l *Ledger) Empty() bool { return len(l.lives) == 0 }

// Lives returns the lives of servers that ended with a request in progress and that no answer to it explains.
func (l *Ledger) Lives(request Fingerprint) []string {
	answered := l.Answer(request).Lives
	return slices.DeleteFunc(slices.Sorted(slices.Values(l.lives[request])), func(life string) bool { return slices.Contains(answered, life) })
}

// End returns what an entry told of a life.
func (l *Ledger) End(life, entry string) End {
	end, known := l.ends[End{Life: life, Entry: entry}.Key()]
	if !known {
		return End{Life: life, Entry: entry}
	}
	return end
}

// Answer returns what was told of a request's answer.
func (l *Ledger) Answer(request Fingerprint) Answer {
	answer, known := l.answers[Answer{Request: request}.Key()]
	if !known {
		return Answer{Request: request}
	}
	return answer
}

// Keys returns the keys of all records.
func (l *Ledger) Keys() []string { return slices.Collect(maps.Keys(l.since)) }

// Older returns the keys of records that were learned before a time.
func (l *Ledger) Older(than time.Time) []string {
	var keys []string
	for key, at := range l.since {
		if at.Before(than) {
			keys = append(keys, key)
		}
	}
	return keys
}

// learned notes a record that may have changed; it reports whether it is new or has.
func (l *Ledger) learned(key string, changed bool, now time.Time) bool {
	if _, known := l.since[key]; !known {
		l.since[key] = now
		changed = true
	}
	if changed {
		l.versions[key]++
	}
	return changed
}

// addEnd files a record by its life and its requests.
func (l *Ledger) addEnd(end End) {
	l.ends[end.Key()] = end
	l.told[end.Life] = append(l.told[end.Life], end.Key())
	for _, request := range end.Requests {
		if !slices.Contains(l.lives[request], end.Life) {
			l.lives[request] = append(l.lives[request], end.Life)
		}
	}
}

// removeEnd takes a record back; what another entry told of the same life stays.
func (l *Ledger) removeEnd(end End) {
	key := end.Key()
	if _, known := l.ends[key]; !known {
		return
	}
	delete(l.ends, key)
	l.told[end.Life] = slices.DeleteFunc(l.told[end.Life], func(other string) bool { return other == key })
	for _, request := range end.Requests {
		if !slices.ContainsFunc(l.told[end.Life], func(other string) bool { return slices.Contains(l.ends[other].Requests, request) }) {
			l.lives[request] = slices.DeleteFunc(l.lives[request], func(life string) bool { return life == end.Life })
		}
		if len(l.lives[request]) == 0 {
			delete(l.lives, request)
		}
	}
	if len(l.told[end.Life]) == 0 {
		delete(l.told, end.Life)
	}
}

// Changes returns the records that have changed since others were told, and notes in told that they are.
func (l *Ledger) Changes(told map[string]int) Records {
	var records Records
	for key := range told {
		if _, known := l.versions[key]; !known {
			records.Gone = append(records.Gone, key)
			delete(told, key)
		}
	}
	for key, version := range l.versions {
		if told[key] == version {
			continue
		}
		told[key] = version
		if end, ok := l.ends[key]; ok {
			records.Ends = append(records.Ends, end)
		}
		if answer, ok := l.answers[key]; ok {
			records.Answers = append(records.Answers, answer)
		}
	}
	return records
}

func (l *Ledger) forget(key string) {
	l.removeEnd(l.ends[key])
	delete(l.answers, key)
	delete(l.since, key)
	delete(l.versions, key)
}

// bound forgets records beyond the most that are kept.
func (l *Ledger) bound() {
	if len(l.since) <= mostRecords {
		return
	}
	keys := slices.SortedFunc(maps.Keys(l.since), func(a, b string) int {
		if heldA, heldB := l.ofHeld(a), l.ofHeld(b); heldA != heldB {
			if heldB {
				return -1
			}
			return 1
		}
		return l.since[a].Compare(l.since[b])
	})
	for _, key := range keys[:len(keys)-mostRecords] {
		l.forget(key)
	}
}

// ofHeld reports whether a record is of a request that is held.
func (l *Ledger) ofHeld(key string) bool {
	return slices.ContainsFunc(l.ends[key].Requests, func(request Fingerprint) bool { return l.held[request] })
}

// judge decides anew which requests are held; it reports whether another one is.
func (l *Ledger) judge() bool {
	suspects := make(map[Fingerprint][]string)
	for request, lives := range l.lives {
		if len(lives) < endsToHold {
			continue
		}
		if lives = l.Lives(request); len(lives) >= endsToHold {
			suspects[request] = lives
		}
	}
	old := l.held
	l.held = verdict(suspects)
	for request := range l.held {
		if !old[request] {
			return true
		}
	}
	return false
}

// tells reports whether a ledger knows as much of a record as another does.
func (l *Ledger) tells(key string, other *Ledger) bool {
	if _, known := l.since[key]; !known {
		return false
	}
	return containsAll(l.ends[key].Requests, other.ends[key].Requests) && containsAll(l.answers[key].Lives, other.answers[key].Lives)
}

// containsAll reports whether all of some things are among others.
func containsAll[T comparable](all, some []T) bool {
	return !slices.ContainsFunc(some, func(one T) bool { return !slices.Contains(all, one) })
}
