package forward

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/machine"
	"github.com/coralstair/coralstair/peersource"
	"github.com/coralstair/coralstair/quarantine"
)

// countingStore is a store whose server list may change or whose calls may hang; it counts the list calls.
type countingStore struct {
	fixedSource
	list  atomic.Pointer[discovery.Servers]
	calls atomic.Int64
	hangs atomic.Bool
}

func (s *countingStore) Servers(ctx context.Context) (discovery.Servers, error) {
	s.calls.Add(1)
	if s.hangs.Load() {
		<-ctx.Done()
		return discovery.Servers{}, ctx.Err()
	}
	return *s.list.Load(), nil
}

func (s *countingStore) ServersAfter(ctx context.Context, cursor discovery.Cursor, wait time.Duration) (discovery.Servers, error) {
	s.calls.Add(1)
	over := time.After(wait)
	for {
		if now := s.list.Load(); now.Cursor != cursor && !s.hangs.Load() {
			return *now, nil
		}
		select {
		case <-ctx.Done():
			return discovery.Servers{}, ctx.Err()
		case <-over:
			if !s.hangs.Load() {
				return discovery.Servers{Cursor: cursor}, nil
			}
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// setServers sets the list of servers.
func (s *countingStore) setServers(ids ...string) {
	list := &discovery.Servers{Cursor: discovery.Cursor{Position: int64(len(ids))}}
	for _, id := range ids {
		list.Present = append(list.Present, contract.Server{ID: id, Service: "s", Address: "h:" + id, Slots: 1})
	}
	s.list.Store(list)
}

// siteEnv is a site of entries, each with its own connection to the store.
type siteEnv struct {
	t       *testing.T
	entries []*Entry
	stores  []*countingStore
	// declaring are the same stores, with what they declare.
	declaring []*declaringStore
	stops     []context.CancelFunc
}

func newSiteEnv(t *testing.T, n int) *siteEnv {
	t.Helper()
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = probe.Close() })
	port := probe.Addr().(*net.TCPAddr).Port
	env := &siteEnv{t: t}
	var hosts []string
	for i := range n {
		hosts = append(hosts, fmt.Sprintf("127.0.8.%d", i+1))
	}
	for i := range n {
		env.startEntry(hosts[i], port)
	}
	for _, e := range env.entries {
		e.budget.SetEntries(minEntriesForReader, clock.Now())
		e.reader.setHosts("box", hosts)
	}
	return env
}

func (env *siteEnv) startEntry(host string, port int) {
	logger := &log.Logger{Handler: discard.Default, Level: log.InfoLevel}
	cfg := contract.NewConfig(1, contract.Limits{}, nil, []contract.Service{{Name: "s"}}, nil)
	store := &countingStore{fixedSource: fixedSource{declared: discovery.Declared{Config: cfg}}}
	store.setServers("1", "2")
	m := machine.Machine{ID: host, Address: host, Site: "z", LinkPort: port, Bounds: machine.Bounds{Drain: 2 * time.Second}}
	declaring := newDeclaringStore(store)
	source := peersource.NewEntrySource(discovery.Hedge(declaring), ListWait(m.Bounds.Drain))
	v := discovery.New(source, discovery.Options{Log: logger})
	links, err := net.Listen("tcp", m.LinkAddress(host))
	if err != nil {
		env.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	env.t.Cleanup(cancel)
	e := New(Config{Machine: m, View: v, Wire: testWire{}, Log: logger, Links: links, PeerSource: source})
	parts := []func(context.Context) error{v.ServeDeclared, v.ServeServers, e.followServers, e.boxLinks.serve, e.reader.serveLinks, e.reader.serve}
	for _, part := range parts {
		go func() { _ = part(ctx) }()
	}
	env.entries, env.stores, env.stops = append(env.entries, e), append(env.stores, store), append(env.stops, cancel)
	env.declaring = append(env.declaring, declaring)
}

// readerIndex returns the index of the entry that reads the list for all.
func (env *siteEnv) readerIndex() int {
	first := 0
	for i, e := range env.entries {
		if ranksBefore(e.cfg.Machine.Address, env.entries[first].cfg.Machine.Address) {
			first = i
		}
	}
	return first
}

// awaitFollowers waits until all entries but the reader receive the list from an entry.
func (env *siteEnv) awaitFollowers(reader int) {
	env.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		all := true
		for i, e := range env.entries {
			all = all && (i == reader || e.cfg.PeerSource.PeerActive())
		}
		if all {
			return
		}
	}
	env.t.Fatal("not all entries receive the list from the reader")
}

// awaitServers waits until an entry knows a number of servers, and returns how long that took.
func (env *siteEnv) awaitServers(i, servers int, limit time.Duration) time.Duration {
	env.t.Helper()
	began := time.Now()
	for time.Since(began) < limit {
		n := 0
		for _, server := range env.entries[i].cfg.View.Servers() {
			if server.MissingSince.IsZero() {
				n++
			}
		}
		if n == servers {
			return time.Since(began)
		}
		time.Sleep(5 * time.Millisecond)
	}
	env.t.Errorf("entry %d does not know %d servers after %s", i, servers, limit)
	return limit
}

// TestOneEntryOfASiteReadsTheList checks that followers make no calls and receive changes, and that they read the list themselves in
// time when the reader dies or its store calls hang.
func TestOneEntryOfASiteReadsTheList(t *testing.T) {
	const soon, inTime = 700 * time.Millisecond, 2 * time.Second
	for name, test := range map[string]struct {
		// fault is injected at the reader before the list changes.
		fault   func(env *siteEnv, reader int)
		limit   time.Duration
		noCalls bool
	}{
		"no fault":                       {func(*siteEnv, int) {}, soon, true},
		"reader dies":                    {func(env *siteEnv, reader int) { env.stops[reader]() }, inTime, false},
		"store calls of the reader hang": {func(env *siteEnv, reader int) { env.stores[reader].hangs.Store(true) }, inTime, false},
	} {
		t.Run(name, func(t *testing.T) {
			env := newSiteEnv(t, 4)
			reader := env.readerIndex()
			env.awaitFollowers(reader)
			before := make([]int64, len(env.stores))
			for i, store := range env.stores {
				before[i] = store.calls.Load()
			}
			test.fault(env, reader)
			for _, store := range env.stores {
				store.setServers("1", "2", "3")
			}
			for i := range env.entries {
				if i != reader {
					env.awaitServers(i, 3, test.limit)
				}
			}
			for i, store := range env.stores {
				if made := store.calls.Load() - before[i]; test.noCalls && i != reader && made > 0 {
					t.Errorf("entry %d made %d calls", i, made)
				}
			}
		})
	}
}

// TestASiteThatIsBehindHasFewReaders checks that on a congested link to the store only the reader and one possible successor read the
// list, which would otherwise keep the link congested.
func TestASiteThatIsBehindHasFewReaders(t *testing.T) {
	const entries, maxReaders, settleTime, observedTime = 5, 2, 4 * time.Second, 3 * time.Second
	env := newSiteEnv(t, entries)
	env.awaitFollowers(env.readerIndex())
	for _, store := range env.stores {
		store.hangs.Store(true)
	}
	time.Sleep(settleTime)
	before := make([]int64, entries)
	for i, store := range env.stores {
		before[i] = store.calls.Load()
	}
	time.Sleep(observedTime)
	read := 0
	for i, store := range env.stores {
		if store.calls.Load() > before[i] {
			read++
		}
	}
	if read > maxReaders {
		t.Errorf("%d of %d entries read the list themselves while all store calls hang", read, entries)
	}
}

// TestEntryWithRelayedListRejectsFollowers checks that an entry which does not read the store itself rejects followers.
func TestEntryWithRelayedListRejectsFollowers(t *testing.T) {
	env := newSiteEnv(t, 2)
	reader := env.readerIndex()
	env.awaitFollowers(reader)
	other := 1 - reader
	if failed := env.entries[reader].reader.follow(t.Context(), env.entries[other].cfg.Machine.Address); !failed {
		t.Error("entry follows one that does not read the store itself")
	}
}

func TestSmallFleetsHaveNoReader(t *testing.T) {
	e := New(Config{Machine: machine.Machine{ID: "a", Address: "127.0.8.1"}})
	e.reader.setHosts("box", []string{"127.0.8.1", "127.0.8.2", "127.0.8.3", "127.0.8.4"})
	e.budget.SetEntries(minEntriesForReader-1, clock.Now())
	if host := e.reader.currentReader(time.Now()); host != "" {
		t.Errorf("%s is the reader of a small fleet", host)
	}
}

// TestReaderTellsWhatEnds checks that quarantine records from the store reach the entries that do not read it.
func TestReaderTellsWhatEnds(t *testing.T) {
	env := newSiteEnv(t, 3)
	first := env.readerIndex()
	env.awaitFollowers(first)
	request := quarantine.FingerprintOf("team", "POST", "h", "/a", nil)
	quarantined := func(e *Entry) bool { return e.cfg.Quarantine.Held(func() quarantine.Fingerprint { return request }) }
	exits := func(incarnations ...string) (records quarantine.Records) {
		for _, incarnation := range incarnations {
			records.Exits = append(records.Exits, quarantine.Exit{Incarnation: incarnation, Entry: "e", Requests: []quarantine.Fingerprint{request}})
		}
		return records
	}
	await := func(want bool) {
		t.Helper()
		for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
			all := true
			for _, e := range env.entries {
				all = all && quarantined(e) == want
			}
			if all {
				return
			}
		}
		t.Errorf("request quarantined at all entries: want %t", want)
	}
	reader := env.entries[first].cfg.Quarantine
	reader.Merge(exits("1", "2"))
	reader.Merge(exits("3"))
	await(true)
	reader.Merge(quarantine.Records{Removed: []string{exits("3").Exits[0].Key()}})
	await(false)
}
