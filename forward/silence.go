package forward

import (
	"slices"
	"time"

	"github.com/coralstair/coralstair/clock"
)

// While the store is silent, each entry of a site would in turn find all entries before it without a recent list, and read the list
// itself: that keeps a congested link to the store congested. So only the first two in the order of ranksBefore read it then, and later
// one more at a time.

const (
	// silentReaders is how many entries of a site read the list while the store is silent: the reader, and one more in case that only the
	// reader's connection has failed.
	silentReaders = 2
	// silentTurn is how long each further one waits for those before it; then it reads the list in case only they can't reach the store. It
	// is several times what a call and its hedges take, so that a link which is only slow gets no further calls.
	silentTurn = 10 * time.Second
	// minSilenceInterval is how soon the first two are first asked again: the second may not have noticed yet that the first is silent.
	minSilenceInterval = 50 * time.Millisecond
)

// updateListDelay sets how long this entry leaves reading the list to those before it once none tells it of the list, and returns that.
func (lr *listReader) updateListDelay() time.Duration {
	delay := time.Duration(0)
	if lr.entry.budget.Entries() >= minEntriesForReader && !lr.entry.leaving.Load() {
		if before, reached := lr.hostsBefore(clock.Now()); reached {
			delay = time.Duration(max(len(before)-silentReaders+1, 0)) * silentTurn
		}
	}
	lr.entry.cfg.PeerSource.SetListDelay(delay)
	return delay
}

// silenceInterval returns the time until the first two entries are asked again: it grows up to readerCheckInterval.
func (lr *listReader) silenceInterval() time.Duration {
	interval := minSilenceInterval << min(lr.silentChecks, 10)
	lr.silentChecks++
	return min(interval, readerCheckInterval)
}

// hostsBefore returns the entries of the site that rank before this one, in order, and whether all of them can be reached as far as is
// known. The others may follow one that this entry can't reach, and then they don't read the store.
func (lr *listReader) hostsBefore(now time.Time) (before []string, reached bool) {
	self := lr.entry.cfg.Machine.Address
	lr.mu.Lock()
	defer lr.mu.Unlock()
	reached = true
	for _, hosts := range lr.hosts {
		for _, host := range hosts {
			if !ranksBefore(host, self) || slices.Contains(before, host) {
				continue
			}
			before = append(before, host)
			reached = reached && (lr.silent[host] || !now.Before(lr.failedUntil[host]))
		}
	}
	slices.SortFunc(before, func(a, b string) int {
		if ranksBefore(a, b) {
			return -1
		}
		return 1
	})
	return before, reached
}

// setSilent records whether an entry responded, but has no recent list.
func (lr *listReader) setSilent(host string, silent bool) {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	if silent {
		lr.silent[host] = true
	} else {
		delete(lr.silent, host)
	}
}

// forgetSilence lets the entries that read the store while it is silent be followed again at once.
func (lr *listReader) forgetSilence() {
	before, _ := lr.hostsBefore(clock.Now())
	lr.mu.Lock()
	defer lr.mu.Unlock()
	for _, host := range before[:min(len(before), silentReaders)] {
		if lr.silent[host] {
			delete(lr.failedUntil, host)
		}
	}
}

// recordRecentList records that an entry has a recent list. Those after it may have been silent only for lack of a reader: that no longer
// counts.
func (lr *listReader) recordRecentList(host string) {
	lr.silentChecks = 0
	lr.mu.Lock()
	defer lr.mu.Unlock()
	for other := range lr.silent {
		if ranksBefore(host, other) {
			delete(lr.failedUntil, other)
			delete(lr.silent, other)
		}
	}
}
