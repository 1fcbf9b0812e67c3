package quarantine

import (
	"maps"
	"slices"
	"time"
)

// mostRecords bounds what is kept, in memory of some 200 bytes each; beyond it the oldest are forgotten.
const mostRecords = 4096

// Ledger is what is known of ends of servers and decides by it which requests are held; the zero value knows nothing. It is not
// safe for concurrent use.
type Ledger struct {
	ends    map[string]End
	answers map[string]Answer
	// since is when each record was learned, by its key.
	since map[string]time.Time
	// versions tell how often each record has changed, by its key.
	versions map[string]int
	// lives are those that ended with a request in progress and that no answer explains.
	lives map[Fingerprint]map[string]bool
	held  map[Fingerprint]bool
}

// Take learns records and forgets those that are gone; it reports whether another request is held now.
func (l *Ledger) Take(records Records, now time.Time) bool {
	if l.ends == nil {
		l.ends, l.answers, l.since = make(map[string]End), make(map[string]Answer), make(map[string]time.Time)
		l.versions = make(map[string]int)
	}
	for _, end := range records.Ends {
		l.learned(end.Key(), !slices.Equal(end.Requests, l.ends[end.Key()].Requests), now)
		l.ends[end.Key()] = end
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
	return slices.Sorted(maps.Keys(l.lives[request]))
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

func (l *Ledger) learned(key string, changed bool, now time.Time) {
	if _, known := l.since[key]; !known {
		l.since[key] = now
		changed = true
	}
	if changed {
		l.versions[key]++
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
	delete(l.ends, key)
	delete(l.answers, key)
	delete(l.since, key)
	delete(l.versions, key)
}

// bound forgets the oldest records beyond the most that are kept.
func (l *Ledger) bound() {
	if len(l.since) <= mostRecords {
		return
	}
	keys := slices.SortedFunc(maps.Keys(l.since), func(a, b string) int { return l.since[a].Compare(l.since[b]) })
	for _, key := range keys[:len(keys)-mostRecords] {
		l.forget(key)
	}
}

// judge decides anew which requests are held; it reports whether another one is.
func (l *Ledger) judge() bool {
	l.lives = make(map[Fingerprint]map[string]bool)
	for _, end := range l.ends {
		for _, request := range end.Requests {
			if l.lives[request] == nil {
				l.lives[request] = make(map[string]bool)
			}
			l.lives[request][end.Life] = true
		}
	}
	for _, answer := range l.answers {
		for _, life := range answer.Lives {
			delete(l.lives[answer.Request], life)
		}
		if len(l.lives[answer.Request]) == 0 {
			delete(l.lives, answer.Request)
		}
	}
	old := l.held
	l.held = verdict(l.lives)
	for request := range l.held {
		if !old[request] {
			return true
		}
	}
	return false
}
