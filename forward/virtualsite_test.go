package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/machine"
	"github.com/coralstair/coralstair/peersource"
)

// siteState is what the store of a virtualSite holds.
type siteState struct {
	mu       sync.Mutex
	list     discovery.Servers
	declared discovery.Declared
	changed  chan struct{}
}

func (s *siteState) update(change func(s *siteState)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
	close(s.changed)
	s.changed = make(chan struct{})
}

// setServers lists the servers 1 to n.
func (s *siteState) setServers(n int) {
	s.update(func(s *siteState) {
		s.list = discovery.Servers{Cursor: discovery.Cursor{Position: s.list.Cursor.Position + 1}}
		for i := range n {
			s.list.Present = append(s.list.Present, contract.Server{ID: fmt.Sprint(i + 1), Service: "s", Address: fmt.Sprintf("h:%d", i+1), Slots: 1})
		}
	})
}

// setRevision declares a configuration of a revision.
func (s *siteState) setRevision(revision contract.Revision) {
	s.update(func(s *siteState) {
		routes := []contract.Route{{Host: "h", Attempts: int(revision)}}
		cfg := contract.NewConfig(revision, contract.Limits{}, routes, []contract.Service{{Name: "s"}}, nil)
		s.declared = discovery.Declared{Config: cfg, Cursor: discovery.Cursor{Position: int64(revision)}}
	})
}

// virtualStore is one entry's access to the store; it counts the calls.
type virtualStore struct {
	state   *siteState
	latency time.Duration

	mu sync.Mutex
	// hung makes the calls in flight and all later ones get no response.
	hung chan struct{}
	// listCalls counts the calls for the list, configReads those that returned a configuration.
	listCalls, configReads int
}

// setHung sets whether calls get no response; calls that already hang go on hanging.
func (s *virtualStore) setHung(hung bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if hung {
		close(s.hung)
	} else {
		s.hung = make(chan struct{})
	}
}

// roundTrip waits for what call finds in the state, and for the latency both ways.
func (s *virtualStore) roundTrip(ctx context.Context, wait time.Duration, count *int, call func() bool) error {
	s.mu.Lock()
	hung := s.hung
	*count++
	s.mu.Unlock()
	sleep := func(d time.Duration) error {
		select {
		case <-time.After(d):
			return nil
		case <-hung:
			<-ctx.Done()
			return ctx.Err()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if err := sleep(s.latency); err != nil {
		return err
	}
	over := time.After(wait)
	for found, timedOut := false, false; !found && !timedOut; {
		s.state.mu.Lock()
		found = call()
		changed := s.state.changed
		s.state.mu.Unlock()
		if found {
			break
		}
		select {
		case <-changed:
		case <-over:
			timedOut = true
		case <-hung:
			<-ctx.Done()
			return ctx.Err()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return sleep(s.latency)
}

func (s *virtualStore) Declared(ctx context.Context) (declared discovery.Declared, err error) {
	err = s.roundTrip(ctx, 0, &s.configReads, func() bool {
		declared = s.state.declared
		return true
	})
	return declared, err
}

func (s *virtualStore) DeclaredAfter(ctx context.Context, cursor discovery.Cursor, wait time.Duration) (discovery.Declared, error) {
	declared, calls := discovery.Declared{Cursor: cursor}, 0
	err := s.roundTrip(ctx, wait, &calls, func() bool {
		if s.state.declared.Cursor.Position <= cursor.Position {
			return false
		}
		declared = s.state.declared
		return true
	})
	if declared.Config != nil {
		s.mu.Lock()
		s.configReads++
		s.mu.Unlock()
	}
	return declared, err
}

func (s *virtualStore) Servers(ctx context.Context) (servers discovery.Servers, err error) {
	err = s.roundTrip(ctx, 0, &s.listCalls, func() bool {
		servers = s.state.list
		return true
	})
	return servers, err
}

func (s *virtualStore) ServersAfter(ctx context.Context, cursor discovery.Cursor, wait time.Duration) (discovery.Servers, error) {
	servers := discovery.Servers{Cursor: cursor}
	err := s.roundTrip(ctx, wait, &s.listCalls, func() bool {
		if s.state.list.Cursor == cursor {
			return false
		}
		servers = s.state.list
		return true
	})
	return servers, err
}

// Probe makes a call whose response is short.
func (s *virtualStore) Probe(ctx context.Context) error {
	calls := 0
	return s.roundTrip(ctx, 0, &calls, func() bool { return true })
}

func (s *virtualStore) counts() (listCalls, configReads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listCalls, s.configReads
}

// virtualSite is a site of entries in virtual time, with timings drawn from a seed.
type virtualSite struct {
	t       *testing.T
	rng     *rand.Rand
	drain   time.Duration
	state   *siteState
	network memNetwork
	entries []*Entry
	stores  []*virtualStore
	stops   []context.CancelFunc
	// pollTimeout is that of the entries' views.
	pollTimeout time.Duration
}

// runVirtualSites runs check on sites of n entries, with the seeds from 1 to CORALSTAIR_SITES or 60.
func runVirtualSites(t *testing.T, n int, check func(site *virtualSite)) {
	t.Helper()
	count := 60
	if more, err := strconv.Atoi(os.Getenv("CORALSTAIR_SITES")); err == nil {
		count = more
	}
	for seed := range count {
		t.Run(fmt.Sprintf("seed %d", seed+1), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := newVirtualSite(t, rand.New(rand.NewPCG(uint64(seed+1), 0)), n)
				defer site.stop()
				check(site)
			})
		})
	}
}

// newVirtualSite starts the entries one after the other, which know each other a while later, as boxes tell them.
func newVirtualSite(t *testing.T, rng *rand.Rand, n int) *virtualSite {
	t.Helper()
	site := &virtualSite{t: t, rng: rng, drain: time.Duration(2+rng.IntN(9)) * time.Second, state: &siteState{changed: make(chan struct{})}}
	site.network.latency = site.between(time.Millisecond, 30*time.Millisecond)
	site.state.setServers(2)
	site.state.setRevision(1)
	var hosts []string
	for i := range n {
		hosts = append(hosts, fmt.Sprintf("127.0.8.%d", i+1))
	}
	site.pollTimeout = site.between(time.Second, 9*time.Second)
	for _, host := range hosts {
		site.startEntry(host)
		time.Sleep(site.between(0, 100*time.Millisecond))
	}
	for _, e := range site.entries {
		site.introduce(e, hosts)
	}
	return site
}

// introduce has a box tell an entry of the others, a while later.
func (site *virtualSite) introduce(e *Entry, hosts []string) {
	time.AfterFunc(site.between(0, 400*time.Millisecond), func() {
		e.reader.setHosts("box", hosts)
		e.budget.SetEntries(minEntriesForReader, clock.Now())
	})
}

// stop ends all entries, and waits until their dials have ended too.
func (site *virtualSite) stop() {
	for _, stop := range site.stops {
		stop()
	}
	time.Sleep(time.Minute)
}

// between returns a duration drawn from [least, most).
func (site *virtualSite) between(least, most time.Duration) time.Duration {
	return least + time.Duration(site.rng.Int64N(int64(most-least)))
}

func (site *virtualSite) startEntry(host string) {
	logger := &log.Logger{Handler: discard.Default, Level: log.InfoLevel}
	store := &virtualStore{state: site.state, latency: site.between(time.Millisecond, 100*time.Millisecond), hung: make(chan struct{})}
	m := machine.Machine{ID: host, Address: host, Site: "z", LinkPort: 1, Bounds: machine.Bounds{Drain: site.drain}}
	source := peersource.NewEntrySource(discovery.Hedge(store), ListWait(site.drain))
	v := discovery.New(source, discovery.Options{Log: logger, PollTimeout: site.pollTimeout, ServersCoalesceDelay: discovery.ServersCoalesceDelayWithin(site.drain)})
	ctx, cancel := context.WithCancel(context.Background())
	links := site.network.listen(m.LinkAddress(host))
	e := New(Config{Machine: m, View: v, Wire: testWire{}, Log: logger, Links: links, PeerSource: source})
	e.boxLinks.client = &http.Client{Transport: &http.Transport{DialContext: site.network.dial}}
	for _, part := range []func(context.Context) error{v.ServeDeclared, v.ServeServers, e.followServers, e.boxLinks.serve, e.reader.serveLinks, e.reader.serve} {
		go func() { _ = part(ctx) }()
	}
	site.entries, site.stores, site.stops = append(site.entries, e), append(site.stores, store), append(site.stops, cancel)
}

// ranked returns the indexes of the entries by rank; the first one is the reader.
func (site *virtualSite) ranked() []int {
	order := make([]int, len(site.entries))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if ranksBefore(site.entries[a].cfg.Machine.Address, site.entries[b].cfg.Machine.Address) {
			return -1
		}
		return 1
	})
	return order
}

// awaitFollowers waits until all entries but the reader receive the list from an entry.
func (site *virtualSite) awaitFollowers() {
	site.t.Helper()
	for deadline := time.Now().Add(6 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if following := slices.DeleteFunc(slices.Clone(site.entries), func(e *Entry) bool { return !e.cfg.PeerSource.PeerActive() }); len(following) == len(site.entries)-1 {
			return
		}
	}
	site.t.Fatal("not all entries receive the list from the reader")
}

// awaitRevision waits until all entries but one have a revision.
func (site *virtualSite) awaitRevision(revision contract.Revision, limit time.Duration, except int) {
	site.t.Helper()
	declared := time.Now()
	for i, e := range site.entries {
		for i != except && e.cfg.View.Config().Revision != revision && time.Since(declared) < limit {
			time.Sleep(5 * time.Millisecond)
		}
		if got := e.cfg.View.Config().Revision; i != except && got != revision {
			site.t.Errorf("drain timeout %s: entry %d has revision %d after %s, want %d", site.drain, i, got, limit, revision)
		}
	}
}

// readersDuring returns the ranks of the entries that call the store for the list, and of those that read a configuration, while f runs.
func (site *virtualSite) readersDuring(f func()) (list, config []int) {
	type count struct{ list, config int }
	before := make([]count, len(site.stores))
	for i, store := range site.stores {
		before[i].list, before[i].config = store.counts()
	}
	f()
	for rank, i := range site.ranked() {
		listCalls, configReads := site.stores[i].counts()
		if listCalls > before[i].list {
			list = append(list, rank)
		}
		if configReads > before[i].config {
			config = append(config, rank)
		}
	}
	return list, config
}

// TestHealthyReaderKeepsItsFollowers guards against a reader that sends its followers away while its store answers, since its
// calls take longer than it allows for.
func TestHealthyReaderKeepsItsFollowers(t *testing.T) {
	const entries, observed = 6, 20 * time.Second
	runVirtualSites(t, entries, func(site *virtualSite) {
		site.awaitFollowers()
		list, config := site.readersDuring(func() {
			for end, revision := time.Now().Add(observed), contract.Revision(2); time.Now().Before(end); revision++ {
				time.Sleep(site.between(0, 4*time.Second))
				if site.rng.IntN(2) == 0 {
					site.state.setRevision(revision)
				} else {
					site.state.setServers(2 + site.rng.IntN(3))
				}
			}
		})
		if !slices.Equal(list, []int{0}) || len(config) > 0 && !slices.Equal(config, []int{0}) {
			site.t.Errorf("drain timeout %s: entries %v by rank call for the list and %v read a configuration, only 0 may", site.drain, list, config)
		}
	})
}

// TestSilentStoreHasTwoReaders guards against entries that wait for nobody while the store is silent, since the reader has not told them in
// time that it responds.
func TestSilentStoreHasTwoReaders(t *testing.T) {
	const entries, settleTime, observed, maxReaders = 6, 4 * time.Second, 3 * time.Second, 2
	runVirtualSites(t, entries, func(site *virtualSite) {
		site.awaitFollowers()
		time.Sleep(site.between(0, 2*time.Second))
		for _, store := range site.stores {
			store.setHung(true)
		}
		time.Sleep(settleTime + 2*ListWait(site.drain))
		list, _ := site.readersDuring(func() { time.Sleep(observed) })
		if len(list) > maxReaders {
			site.t.Errorf("drain timeout %s: entries %v by rank call for the list, %d may", site.drain, list, maxReaders)
		}
	})
}

// TestNextReaderTakesOver guards against entries that each read the configuration when their reader dies or its store falls silent, and
// against ones that get it late, then or while the next reader serves them.
func TestNextReaderTakesOver(t *testing.T) {
	const entries, maxOthers, soon = 6, 2, time.Second
	for name, fail := range map[string]func(site *virtualSite, reader int){
		"reader dies":  func(site *virtualSite, reader int) { site.stops[reader]() },
		"reader hangs": func(site *virtualSite, reader int) { site.stores[reader].setHung(true) },
	} {
		t.Run(name, func(t *testing.T) {
			runVirtualSites(t, entries, func(site *virtualSite) {
				site.awaitFollowers()
				time.Sleep(site.between(0, 3*time.Second))
				reader := site.ranked()[0]
				limit := maxListAge(site.drain) + 2*time.Second
				_, config := site.readersDuring(func() {
					fail(site, reader)
					for revision := contract.Revision(2); revision < 6; revision++ {
						site.state.setRevision(revision)
						site.awaitRevision(revision, limit, reader)
						time.Sleep(site.between(0, 2*time.Second))
						limit = soon
					}
				})
				if others := slices.DeleteFunc(config, func(rank int) bool { return rank == 0 }); len(others) > maxOthers {
					site.t.Errorf("drain timeout %s: entries %v by rank read a configuration, %d may besides the reader", site.drain, others, maxOthers)
				}
			})
		})
	}
}

// TestReaderThatReturnsIsFollowed guards against entries that get configurations late, or go on reading the store, after their reader has
// restarted.
func TestReaderThatReturnsIsFollowed(t *testing.T) {
	const entries, soon, settleTime, observed = 6, time.Second, 10 * time.Second, 5 * time.Second
	runVirtualSites(t, entries, func(site *virtualSite) {
		site.awaitFollowers()
		reader := site.ranked()[0]
		host := site.entries[reader].cfg.Machine.Address
		site.stops[reader]()
		time.Sleep(site.between(100*time.Millisecond, 6*time.Second))
		site.startEntry(host)
		site.introduce(site.entries[entries], site.entries[(reader+1)%entries].reader.hosts["box"])
		site.entries[reader], site.stores[reader] = site.entries[entries], site.stores[entries]
		site.entries, site.stores = site.entries[:entries], site.stores[:entries]
		time.Sleep(site.between(2*time.Second, 4*time.Second))
		for revision, end := contract.Revision(2), time.Now().Add(settleTime); time.Now().Before(end); revision++ {
			site.state.setRevision(revision)
			site.awaitRevision(revision, soon, reader)
			time.Sleep(site.between(0, 2*time.Second))
		}
		if list, _ := site.readersDuring(func() { time.Sleep(observed) }); !slices.Equal(list, []int{0}) {
			site.t.Errorf("drain timeout %s: entries %v by rank call for the list, only 0 may", site.drain, list)
		}
	})
}
