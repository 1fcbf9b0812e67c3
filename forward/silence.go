package forward

import (
	"context"
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
	// storeAnswersTime is for how long the store must answer an entry, while the first two are silent, until that one reads the list itself:
	// the first two would have the list by then if the store answered them too.
	storeAnswersTime = 1200 * time.Millisecond
	// storeProbeTimeout bounds a call that finds out whether the store answers.
	storeProbeTimeout = 500 * time.Millisecond
	// minSilenceInterval is how soon the first two are first asked again: the second may not have noticed yet that the first is silent.
	minSilenceInterval = 50 * time.Millisecond
)

// updateListDelay sets how long this entry leaves reading the list to those before it once none tells it of the list, and returns that.
func (lr *listReader) updateListDelay() time.Duration {
	delay := time.Duration(0)
	if lr.entry.budget.Entries() >= minEntriesForReader && !lr.entry.leaving.Load() {
		if before, reached := lr.hostsBefore(clock.Now()); reached && !lr.storeAnswersAlone(clock.Now()) {
			delay = time.Duration(max(len(before)-silentReaders+1, 0)) * silentTurn
		}
	}
	lr.entry.cfg.PeerSource.SetListDelay(delay)
	return delay
}

// probeStore finds out whether the store answers this entry.
func (lr *listReader) probeStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeProbeTimeout)
	defer cancel()
	switch {
	case !lr.entry.cfg.PeerSource.StoreAnswers(ctx):
		lr.storeAnswersSince = time.Time{}
	case lr.storeAnswersSince.IsZero():
		lr.storeAnswersSince = clock.Now()
	}
}

// storeAnswersAlone reports whether the store has answered this entry for some time in which the first two had no list.
func (lr *listReader) storeAnswersAlone(now time.Time) bool {
	return !lr.storeAnswersSince.IsZero() && now.Sub(lr.storeAnswersSince) >= storeAnswersTime
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
	lr.silentChecks, lr.storeAnswersSince = 0, time.Time{}
	lr.mu.Lock()
	defer lr.mu.Unlock()
	for other := range lr.silent {
		if ranksBefore(host, other) {
			delete(lr.failedUntil, other)
			delete(lr.silent, other)
		}
	}
}
