package forward

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/machine"
	"github.com/coralstair/coralstair/peersource"
)

// TestWhoReadsASilentStore checks that the first two entries of a site by rank read a silent store at once and each further one later, and that
// nobody waits in a small fleet, for an entry that cannot be reached, or while leaving.
func TestWhoReadsASilentStore(t *testing.T) {
	hosts := []string{"127.0.8.1", "127.0.8.2", "127.0.8.3", "127.0.8.4"}
	slices.SortFunc(hosts, func(a, b string) int {
		if ranksBefore(a, b) {
			return -1
		}
		return 1
	})
	for name, test := range map[string]struct {
		entries int
		dead    []string
		leaving bool
		want    []time.Duration
	}{
		"all respond":       {entries: minEntriesForReader, want: []time.Duration{0, 0, silentTurn, 2 * silentTurn}},
		"the first is dead": {entries: minEntriesForReader, dead: hosts[:1], want: []time.Duration{0, 0, 0, 0}},
		"the third is dead": {entries: minEntriesForReader, dead: hosts[2:3], want: []time.Duration{0, 0, silentTurn, 0}},
		"small fleet":       {entries: minEntriesForReader - 1, want: []time.Duration{0, 0, 0, 0}},
		"leaving":           {entries: minEntriesForReader, leaving: true, want: []time.Duration{0, 0, 0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			for i, self := range hosts {
				e := New(Config{Machine: machine.Machine{ID: self, Address: self}, PeerSource: peersource.NewEntrySource(fixedSource{}, time.Second)})
				e.budget.SetEntries(test.entries, clock.Now())
				e.leaving.Store(test.leaving)
				e.reader.setHosts("box", hosts)
				e.reader.setHosts("another box", hosts[1:])
				for _, host := range hosts {
					e.reader.failedUntil[host] = clock.Now().Add(readerBackoff)
					e.reader.setSilent(host, !slices.Contains(test.dead, host))
				}
				if got := e.reader.updateListDelay(); got != test.want[i] {
					t.Errorf("entry %d waits %s, want %s", i, got, test.want[i])
				}
			}
		})
	}
}

// TestASiteThatWasBehindCatchesUp checks that all entries of a site have the list soon after the store responds again.
func TestASiteThatWasBehindCatchesUp(t *testing.T) {
	const entries, silence, inTime = 5, 5 * time.Second, 2 * time.Second
	env := newSiteEnv(t, entries)
	env.awaitFollowers(env.readerIndex())
	for _, store := range env.stores {
		store.hangs.Store(true)
	}
	time.Sleep(silence)
	for _, store := range env.stores {
		store.setServers("1", "2", "3")
		store.hangs.Store(false)
	}
	for i := range env.entries {
		env.awaitServers(i, 3, inTime)
	}
}

// TestTheFirstTwoAreAskedSoonAndThenSeldom checks that the pause grows to the usual one.
func TestTheFirstTwoAreAskedSoonAndThenSeldom(t *testing.T) {
	lr := newListReader(New(Config{}))
	if first := lr.silenceInterval(); first > 100*time.Millisecond {
		t.Errorf("the first pause is %s", first)
	}
	for range 100 {
		lr.silenceInterval()
	}
	if last := lr.silenceInterval(); last != readerCheckInterval {
		t.Errorf("the last pause is %s, want %s", last, readerCheckInterval)
	}
}

// TestSilenceEndsWithARecentList checks that entries which had no list while there was no reader are not passed over once there is one, and
// that one before the reader still is.
func TestSilenceEndsWithARecentList(t *testing.T) {
	hosts := []string{"127.0.8.1", "127.0.8.2", "127.0.8.3"}
	slices.SortFunc(hosts, func(a, b string) int {
		if ranksBefore(a, b) {
			return -1
		}
		return 1
	})
	lr := newListReader(New(Config{}))
	until := clock.Now().Add(readerBackoff)
	for _, host := range hosts {
		lr.failedUntil[host] = until
		lr.setSilent(host, true)
	}
	lr.recordRecentList(hosts[1])
	if lr.failedUntil[hosts[0]] != until || !lr.failedUntil[hosts[2]].IsZero() {
		t.Errorf("passed over until %v", lr.failedUntil)
	}
}

// answeringStore is a store that answers short calls unless it is silent.
type answeringStore struct {
	fixedSource
	silent bool
}

func (s answeringStore) Probe(context.Context) error {
	if s.silent {
		return context.DeadlineExceeded
	}
	return nil
}

// TestEntryThatTheStoreAnswersDoesNotWait guards against a site that keeps an old list for long since only its first two entries have lost
// the store.
func TestEntryThatTheStoreAnswersDoesNotWait(t *testing.T) {
	hosts := []string{"127.0.8.1", "127.0.8.2", "127.0.8.3"}
	last := slices.MaxFunc(hosts, func(a, b string) int {
		if ranksBefore(a, b) {
			return -1
		}
		return 1
	})
	for name, test := range map[string]struct {
		store    discovery.Source
		answered time.Duration
		want     time.Duration
	}{
		"the store has answered for long":  {answeringStore{}, storeAnswersTime, 0},
		"the store has just answered":      {answeringStore{}, 0, silentTurn},
		"the store is silent":              {answeringStore{silent: true}, storeAnswersTime, silentTurn},
		"the store has no short call":      {fixedSource{}, storeAnswersTime, silentTurn},
		"the store was silent in between":  {answeringStore{}, storeAnswersTime / 2, silentTurn},
		"through hedged calls, for long":   {discovery.Hedge(answeringStore{}), storeAnswersTime, 0},
		"hedged calls without a short one": {discovery.Hedge(fixedSource{}), storeAnswersTime, silentTurn},
	} {
		t.Run(name, func(t *testing.T) {
			e := New(Config{Machine: machine.Machine{ID: last, Address: last}, PeerSource: peersource.NewEntrySource(test.store, time.Second)})
			e.budget.SetEntries(minEntriesForReader, clock.Now())
			e.reader.setHosts("box", hosts)
			for _, host := range hosts {
				e.reader.failedUntil[host] = clock.Now().Add(readerBackoff)
				e.reader.setSilent(host, true)
			}
			e.reader.probeStore(t.Context())
			if !e.reader.storeAnswersSince.IsZero() {
				e.reader.storeAnswersSince = e.reader.storeAnswersSince.Add(-test.answered)
			}
			e.reader.probeStore(t.Context())
			if got := e.reader.updateListDelay(); got != test.want {
				t.Errorf("waits %s, want %s", got, test.want)
			}
		})
	}
}

// TestNextReaderKeepsFollowersWaiting guards against entries that all read the store when their reader dies, since the next one has not
// noticed yet and sends them away.
func TestNextReaderKeepsFollowersWaiting(t *testing.T) {
	env := newSiteEnv(t, 3)
	first := env.readerIndex()
	env.awaitFollowers(first)
	next, other := (first+1)%3, (first+2)%3
	if ranksBefore(env.entries[other].cfg.Machine.Address, env.entries[next].cfg.Machine.Address) {
		next, other = other, next
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	env.stops[first]()
	// The next reader notices within listTimeout, listHeartbeat sooner at best.
	time.Sleep(listTimeout - listHeartbeat - 300*time.Millisecond)
	sentAway := make(chan bool, 1)
	// The entry goes on following with the reader of its own, whose state is its goroutine's alone.
	follower := newListReader(env.entries[other])
	go func() { sentAway <- follower.follow(ctx, env.entries[next].cfg.Machine.Address) }()
	select {
	case failed := <-sentAway:
		if failed {
			t.Error("the next reader sent a follower away")
		}
	case <-time.After(followGrace * 3 / 2):
	}
}
