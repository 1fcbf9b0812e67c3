package store

import (
	"sync"
	"time"

	"github.com/coralstair/coralstair/clock"
)

// Time is a time of the store's own steady clock, in milliseconds; 0 if unknown.
type Time int64

const (
	// maxMarks is how many responses are remembered; they cover some seconds of long polls.
	maxMarks = 64
	// rewriteWindow is how long after a restore rows may be written that were lost by it, in milliseconds: operators write them again.
	rewriteWindow Time = 10_000
	// offsetWindow is how long clock offsets are compared at least: the two clocks may drift apart.
	offsetWindow = 5 * time.Minute
)

// Timeline relates positions in a store's history to its clock, and its clock to this process's clock, by the store's responses. The zero
// value has seen none. It is safe for concurrent use.
type Timeline struct {
	mu    sync.Mutex
	epoch Epoch
	// marks are the newest responses by position; at the time of each, nothing beyond its position was written.
	marks []mark
	// read is when the declared rows were last read. Until rewrittenUntil rows may have been written first at any time after readBefore,
	// that of the epoch before.
	read, readBefore, rewrittenUntil Time
	// current and previous are the offsets of the newest windows.
	current, previous offsets
	windowEnds        time.Time
}

// mark is a position that was the newest one at a time.
type mark struct {
	position int64
	at       Time
}

// processStart is the time from which offsets count.
var processStart = clock.Now()

// offsets bounds this process's clock minus the store's.
type offsets struct {
	known             bool
	earliest, highest time.Duration
}

// Observe records a response that names the store's newest position and its time, to a request sent at a time.
func (t *Timeline) Observe(epoch Epoch, position int64, at Time, sent time.Time) {
	if at <= 0 {
		return
	}
	now := clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if epoch > t.epoch {
		t.epoch, t.marks = epoch, nil
		t.readBefore, t.rewrittenUntil = t.read, at+rewriteWindow
	}
	if epoch == t.epoch {
		t.addMark(mark{position, at})
	}
	if t.windowEnds.IsZero() || now.After(t.windowEnds) {
		t.previous, t.current, t.windowEnds = t.current, offsets{}, now.Add(offsetWindow)
	}
	// The time is rounded down to a millisecond.
	t.current = t.current.with(offsetOf(sent, at+1), offsetOf(now, at))
}

// addMark inserts a mark; responses may arrive out of order. mu is held.
func (t *Timeline) addMark(m mark) {
	i := len(t.marks)
	for i > 0 && t.marks[i-1].position > m.position {
		i--
	}
	if i > 0 && t.marks[i-1].position == m.position {
		t.marks[i-1].at = max(t.marks[i-1].at, m.at)
		return
	}
	t.marks = append(t.marks, mark{})
	copy(t.marks[i+1:], t.marks[i:])
	t.marks[i] = m
	if surplus := len(t.marks) - maxMarks; surplus > 0 {
		t.marks = append(t.marks[:0], t.marks[surplus:]...)
	}
}

// ObserveDeclared records that all declared rows up to a position are known.
func (t *Timeline) ObserveDeclared(position int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.marks {
		if m.position == position {
			t.read = max(t.read, m.at)
		}
	}
}

// Read returns the latest known time as of which all declared rows are known, 0 if there is none.
func (t *Timeline) Read() Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.read
}

// Before returns the latest known time at which the declared row that is now at a position had not been written yet, 0 if there is none.
func (t *Timeline) Before(position int64) Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(t.marks) - 1; i >= 0; i-- {
		if m := t.marks[i]; m.position < position {
			if m.at < t.rewrittenUntil {
				return min(m.at, t.readBefore)
			}
			return m.at
		}
	}
	return 0
}

// Local returns a time of this process's clock that is not later than a time of the store's clock; false before any response, and without
// a timeline.
func (t *Timeline) Local(at Time) (time.Time, bool) {
	if t == nil || at <= 0 {
		return time.Time{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.current.known {
		return time.Time{}, false
	}
	offset := t.current.earliest
	if t.previous.known {
		offset = max(offset, t.previous.earliest)
		if offset > min(t.current.highest, t.previous.highest) {
			offset = min(t.current.earliest, t.previous.earliest)
		}
	}
	return processStart.Add(offset + time.Duration(at)*time.Millisecond), true
}

// offsetOf returns a time of this process's clock minus one of the store's.
func offsetOf(local time.Time, at Time) time.Duration {
	return local.Sub(processStart) - time.Duration(at)*time.Millisecond
}

// with returns the offsets narrowed by a response. Offsets that contradict each other are widened: either clock may have jumped, and no
// time may be taken to be later than it was.
func (o offsets) with(earliest, highest time.Duration) offsets {
	switch {
	case !o.known:
		return offsets{true, earliest, highest}
	case earliest > o.highest || highest < o.earliest:
		return offsets{true, min(o.earliest, earliest), max(o.highest, highest)}
	}
	return offsets{true, max(o.earliest, earliest), min(o.highest, highest)}
}
