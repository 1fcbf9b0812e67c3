package forward

import (
	"slices"
	"testing"
	"time"

	"github.com/coralstair/coralstair/clock"
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
