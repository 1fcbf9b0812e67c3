package allowance

import (
	"cmp"
	"time"
)

// DefaultEntries is the number of entries assumed to share an allowance until the real number is known.
const DefaultEntries = 20

// Sharers is how many entries share an allowance. The zero value assumes DefaultEntries. It is not safe for concurrent use.
type Sharers struct {
	entries int
	// before holds the numbers of entries that were replaced within the window, the largest of each bucket.
	before Counts
}

// Set sets how many entries share the allowance, at least 1. A smaller number lets an entry use more only after a window: until then
// what the entries that are gone have used still counts, and they may come back.
func (s *Sharers) Set(n int, w Window, now time.Time) {
	if s.entries > 0 {
		s.before.Advance(w, now)
		s.before.Raise(int64(s.entries))
	}
	s.entries = max(n, 1)
}

// Entries returns how many entries are assumed to share the allowance.
func (s *Sharers) Entries() int { return cmp.Or(s.entries, DefaultEntries) }

// Most returns the largest number of entries assumed within the window.
func (s *Sharers) Most(w Window, now time.Time) int {
	s.before.Advance(w, now)
	return max(s.Entries(), int(s.before.Most()))
}

// InDoubt returns the number of entries to assume while an entry does not know all others yet.
func InDoubt(entries int) int { return max(entries, DefaultEntries) }

// Fraction returns an entry's fraction of an allowance, given the entry's weight among those that share it.
func Fraction(weight float64, entries int) float64 {
	return min(weight/float64(max(entries, 1)), 1)
}
