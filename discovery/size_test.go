package discovery

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/coralstair/coralstair/contract"
)

// manyServers returns n servers with distinct addresses.
func manyServers(n int) []contract.Server {
	servers := make([]contract.Server, n)
	for i := range servers {
		servers[i] = contract.Server{
			ID: fmt.Sprintf("i-%08x", i), Service: fmt.Sprintf("s%d", i%4), Address: fmt.Sprintf("10.%d.%d.%d:8000", i/65536, i/256%256, i%256),
			Site: "z", Slots: 8, Loaded: map[string]contract.Version{"m": 1},
		}
	}
	return servers
}

// BenchmarkWholeList applies the full list of servers, as a daemon does at startup.
func BenchmarkWholeList(b *testing.B) {
	for _, n := range []int{301, 1002, 3002} {
		servers := manyServers(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				v := New(nil, Options{Log: &log.Logger{Handler: discard.Default}})
				v.applyServers(Servers{Present: servers}, true)
			}
		})
	}
}

// TestAListOfTenTimesAsManyServersIsTakenInTenTimesAsLong guards against applying a list in more than linear time: a configuration
// change waits for the same mutex.
func TestAListOfTenTimesAsManyServersIsTakenInTenTimesAsLong(t *testing.T) {
	cost := func(servers []contract.Server) time.Duration {
		v := New(nil, Options{Log: &log.Logger{Handler: discard.Default}})
		start := threadCPUTime(t)
		v.applyServers(Servers{Present: servers}, true)
		return threadCPUTime(t) - start
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	// Both are run alternately; the minimum of each is the least disturbed by other load.
	few, many := time.Hour, time.Hour
	fewServers, manyServers := manyServers(301), manyServers(3010)
	for range 20 {
		few, many = min(few, cost(fewServers)), min(many, cost(manyServers))
	}
	if many > 20*few {
		t.Errorf("301 servers take %s, ten times as many %s", few, many)
	}
}

// lineCounter counts log lines.
type lineCounter struct{ n int }

// HandleLog implements log.Handler.
func (c *lineCounter) HandleLog(*log.Entry) error {
	c.n++
	return nil
}

// TestWholeListLeavesLogLines guards against a list of servers whose lines use up all that a daemon writes in a second.
func TestWholeListLeavesLogLines(t *testing.T) {
	for name, test := range map[string]struct{ servers, maxLines int }{
		"few servers":  {20, 20},
		"many servers": {10000, 250},
	} {
		t.Run(name, func(t *testing.T) {
			lines := &lineCounter{}
			v := New(nil, Options{Log: &log.Logger{Handler: lines}})
			v.applyServers(Servers{Present: manyServers(test.servers)}, true)
			if lines.n == 0 || lines.n > test.maxLines {
				t.Errorf("%d lines, want 1 to %d", lines.n, test.maxLines)
			}
			lines.n = 0
			v.applyServers(Servers{Present: manyServers(test.servers)}, true)
			if lines.n != 0 {
				t.Errorf("%d lines for an unchanged list", lines.n)
			}
		})
	}
}

// threadCPUTime returns the CPU time of the current thread.
func threadCPUTime(t *testing.T) time.Duration {
	t.Helper()
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &now); err != nil {
		t.Fatal(err)
	}
	return time.Duration(now.Nano())
}

// TestSomeServersAreNotAll checks that a partial list adds servers, removes none and is followed by a full read.
func TestSomeServersAreNotAll(t *testing.T) {
	runFollowing(t, func(t *testing.T, v *View, s *fakeSource) {
		all := manyServers(3)
		present := func() (ids []string) {
			for _, server := range v.Servers() {
				if server.MissingSince.IsZero() {
					ids = append(ids, server.ID)
				}
			}
			return ids
		}
		s.servers <- response[Servers]{value: Servers{Present: all[:2], Partial: true}}
		s.servers <- response[Servers]{value: Servers{Present: all[1:]}}
		time.Sleep(time.Second)
		if ids := present(); len(ids) != 2 || slices.Contains(ids, all[0].ID) {
			t.Errorf("%v are listed, want all but %s, which only the partial list has", ids, all[0].ID)
		}
		s.servers <- response[Servers]{value: Servers{Present: all[:1]}}
		time.Sleep(time.Second)
		if ids := present(); len(ids) != 3 {
			t.Errorf("%v are listed, want all: the list after a full read is a change", ids)
		}
	})
}
