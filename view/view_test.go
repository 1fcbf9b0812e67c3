package view

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/contract"
)

// fakeSource hands out what tests put into it; a call waits until there is something or its wait is over.
type fakeSource struct {
	declared chan answer[Declared]
	servers  chan answer[Servers]
	whole    int
}

type answer[T any] struct {
	value T
	err   error
}

func newFakeSource() *fakeSource {
	return &fakeSource{declared: make(chan answer[Declared]), servers: make(chan answer[Servers])}
}

func take[T any](ctx context.Context, from chan answer[T], wait time.Duration) (T, error) {
	var none T
	select {
	case a := <-from:
		return a.value, a.err
	case <-time.After(wait):
		return none, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

func (s *fakeSource) Declared(ctx context.Context) (Declared, error) {
	s.whole++
	return take(ctx, s.declared, time.Hour)
}

func (s *fakeSource) DeclaredAfter(ctx context.Context, _ Cursor, wait time.Duration) (Declared, error) {
	return take(ctx, s.declared, wait)
}

func (s *fakeSource) Servers(ctx context.Context) (Servers, error) {
	return take(ctx, s.servers, time.Hour)
}

func (s *fakeSource) ServersAfter(ctx context.Context, _ Cursor, wait time.Duration) (Servers, error) {
	return take(ctx, s.servers, wait)
}

func config(revision contract.Revision) *contract.Config {
	return contract.NewConfig(revision, contract.Limits{}, nil, nil, nil)
}

// following runs a view in a bubble of virtual time.
func following(t *testing.T, test func(t *testing.T, v *View, s *fakeSource)) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeSource()
		v := New(s, Options{Log: &log.Logger{Handler: discard.Default, Level: log.InfoLevel}, VersionBound: 8 * time.Second})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = v.ServeDeclared(ctx) }()
		go func() { _ = v.ServeServers(ctx) }()
		test(t, v, s)
		cancel()
		synctest.Wait()
	})
}

func TestConfigNeverGoesBack(t *testing.T) {
	for name, test := range map[string]struct {
		answers []answer[Declared]
		want    contract.Revision
	}{
		"a newer one is taken": {[]answer[Declared]{{value: Declared{Config: config(4)}}, {value: Declared{Config: config(9)}}}, 9},
		"an older one is not":  {[]answer[Declared]{{value: Declared{Config: config(9)}}, {value: Declared{Config: config(4)}}}, 9},
		"a row that cannot be read leaves the last": {
			[]answer[Declared]{{value: Declared{Config: config(4)}}, {value: Declared{Faults: []error{errors.New("no JSON")}}}}, 4,
		},
		"the last stays while the store is away": {
			[]answer[Declared]{{value: Declared{Config: config(4)}}, {err: errors.New("away")}, {err: errors.New("away")}}, 4,
		},
		"an older whole after the history is gone is not taken": {
			[]answer[Declared]{{value: Declared{Config: config(9)}}, {err: &HistoryGoneError{}}, {value: Declared{Config: config(4)}}}, 9,
		},
	} {
		t.Run(name, func(t *testing.T) {
			following(t, func(t *testing.T, v *View, s *fakeSource) {
				for _, a := range test.answers {
					s.declared <- a
				}
				synctest.Wait()
				if got := v.Config().Revision; got != test.want {
					t.Errorf("revision %d is in force, want %d", got, test.want)
				}
			})
		})
	}
}

func TestHistoryGoneReadsTheWhole(t *testing.T) {
	following(t, func(t *testing.T, _ *View, s *fakeSource) {
		s.declared <- answer[Declared]{value: Declared{Config: config(1)}}
		s.declared <- answer[Declared]{err: &HistoryGoneError{}}
		s.declared <- answer[Declared]{value: Declared{Config: config(2)}}
		synctest.Wait()
		if s.whole != 2 {
			t.Errorf("the whole was read %d times, want 2", s.whole)
		}
	})
}

func TestServersThatAreNoLongerListed(t *testing.T) {
	server := contract.Server{ID: "a", Service: "s", Address: "h:1"}
	for name, test := range map[string]struct {
		changes []Servers
		// away says that the store fails a call before the last change.
		away    bool
		after   time.Duration
		listed  bool
		missing bool
	}{
		"present": {changes: []Servers{{Present: []contract.Server{server}}}, listed: true},
		"gone counts as missing at first": {
			changes: []Servers{{Present: []contract.Server{server}}, {Gone: []string{"a"}}}, after: time.Second, listed: true, missing: true,
		},
		"gone is gone after the grace": {
			changes: []Servers{{Present: []contract.Server{server}}, {Gone: []string{"a"}}}, after: 2 * time.Second,
		},
		"one that lapsed while the store was away has longer": {
			changes: []Servers{{Present: []contract.Server{server}}, {Gone: []string{"a"}}}, away: true, after: 2 * time.Second,
			listed: true, missing: true,
		},
		"but is gone then": {
			changes: []Servers{{Present: []contract.Server{server}}, {Gone: []string{"a"}}}, away: true, after: 3 * time.Second,
		},
		"one whose entry cannot be read any more is gone at once": {
			changes: []Servers{{Present: []contract.Server{server}}, {Unread: []string{"a"}, Faults: []error{errors.New("no JSON")}}},
			after:   time.Millisecond,
		},
		"and is present again once it can": {
			changes: []Servers{
				{Present: []contract.Server{server}},
				{Unread: []string{"a"}, Faults: []error{errors.New("no JSON")}},
				{Present: []contract.Server{server}},
			},
			after: time.Millisecond, listed: true,
		},
		"one that is back is present": {
			changes: []Servers{{Present: []contract.Server{server}}, {Gone: []string{"a"}}, {Present: []contract.Server{server}}},
			after:   time.Second, listed: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			following(t, func(t *testing.T, v *View, s *fakeSource) {
				for i, change := range test.changes {
					if test.away && i == len(test.changes)-1 {
						s.servers <- answer[Servers]{err: errors.New("away")}
					}
					s.servers <- answer[Servers]{value: change}
				}
				time.Sleep(test.after)
				synctest.Wait()
				servers := v.Servers()
				if (len(servers) == 1) != test.listed {
					t.Fatalf("%d servers, want listed %t", len(servers), test.listed)
				}
				if test.listed && servers[0].Missing.IsZero() == test.missing {
					t.Errorf("missing since %s, want missing %t", servers[0].Missing, test.missing)
				}
			})
		})
	}
}

func TestDue(t *testing.T) {
	following(t, func(t *testing.T, v *View, s *fakeSource) {
		s.declared <- answer[Declared]{value: Declared{Config: config(1), Targets: []contract.Target{{Model: "m", Version: 1}}}}
		time.Sleep(time.Minute)
		start := time.Now()
		s.declared <- answer[Declared]{value: Declared{Targets: []contract.Target{{Model: "m", Version: 2}}}}
		time.Sleep(3 * time.Second)
		s.declared <- answer[Declared]{value: Declared{Targets: []contract.Target{{Model: "m", Version: 3}}}}
		synctest.Wait()
		for version, want := range map[contract.Version]time.Duration{1: 8 * time.Second, 2: 11 * time.Second} {
			due, ok := v.Due("m", version)
			if !ok || due.Sub(start).Round(time.Millisecond) != want {
				t.Errorf("version %d is due after %s, want %s", version, due.Sub(start), want)
			}
		}
		if _, ok := v.Due("m", 3); ok {
			t.Error("the newest version is due")
		}
		if version, _ := v.Target("m"); version != 3 {
			t.Errorf("version %d is aimed at, want 3", version)
		}
	})
}

func TestTargetWhileNoneIsNamed(t *testing.T) {
	following(t, func(t *testing.T, v *View, s *fakeSource) {
		s.servers <- answer[Servers]{value: Servers{Present: []contract.Server{
			{ID: "a", Loaded: map[string]contract.Version{"m": 1}}, {ID: "b"},
		}}}
		synctest.Wait()
		if version, _ := v.Target("m"); version != 1 {
			t.Errorf("version %d is aimed at, want that which another server runs", version)
		}
	})
}

func TestUnreadEntryOfTheWholeNamesNoServer(t *testing.T) {
	following(t, func(t *testing.T, v *View, s *fakeSource) {
		s.servers <- answer[Servers]{value: Servers{Present: []contract.Server{{ID: "a"}, {ID: "b"}}}}
		s.servers <- answer[Servers]{err: &HistoryGoneError{}}
		s.servers <- answer[Servers]{value: Servers{Present: []contract.Server{{ID: "b"}}, Unread: []string{"a"}}}
		time.Sleep(time.Millisecond)
		if servers := v.Servers(); len(servers) != 1 || servers[0].ID != "b" {
			t.Errorf("%v are listed, want only that whose entry could be read", servers)
		}
	})
}

func TestSettleFollowsTheSize(t *testing.T) {
	for name, test := range map[string]struct {
		size int
		want time.Duration
	}{
		"not known":          {0, DefaultSettle},
		"a small change":     {settleRate / 128, time.Second / 128},
		"a large one":        {settleRate / 4, 250 * time.Millisecond},
		"not longer than so": {settleRate * 9, DefaultSettle},
	} {
		t.Run(name, func(t *testing.T) {
			if got := settleOf(test.size, DefaultSettle); got != test.want {
				t.Errorf("a pause of %s, want %s", got, test.want)
			}
		})
	}
}

func TestAddressesThatChangeHands(t *testing.T) {
	server := func(id, address string) contract.Server {
		return contract.Server{ID: id, Service: "s", Address: address}
	}
	born := func(s contract.Server, at int64) contract.Server {
		s.Born = at
		return s
	}
	stranger := contract.Server{ID: "x", Service: "not declared", Address: "h:1"}
	declared := contract.NewConfig(1, contract.Limits{}, nil, []contract.Service{{Name: "s"}}, nil)
	present := func(servers ...contract.Server) Servers { return Servers{Present: servers} }
	for name, test := range map[string]struct {
		changes []Servers
		want    []string
	}{
		"two addresses":                 {[]Servers{present(server("a", "h:1"), server("b", "h:2"))}, []string{"a", "b"}},
		"the newer life of an address":  {[]Servers{present(server("a", "h:1")), present(server("b", "h:1"))}, []string{"b"}},
		"written later in one whole":    {[]Servers{present(server("a", "h:1"), server("b", "h:1"))}, []string{"b"}},
		"a late heartbeat of the older": {[]Servers{present(server("a", "h:1")), present(server("b", "h:1")), present(server("a", "h:1"))}, []string{"b"}},
		"the newer one is gone":         {[]Servers{present(server("a", "h:1")), present(server("b", "h:1")), {Gone: []string{"b"}}}, []string{"a", "b"}},
		"the third life":                {[]Servers{present(server("a", "h:1")), present(server("b", "h:1")), present(server("c", "h:1"))}, []string{"c"}},
		"started again at its address": {[]Servers{
			present(server("a", "h:1")), present(server("b", "h:1")), present(born(server("a", "h:1"), 2)), present(born(server("a", "h:1"), 3)),
		}, []string{"a"}},
		"started again elsewhere": {[]Servers{
			present(born(server("a", "h:1"), 1)), present(server("b", "h:1")), present(born(server("a", "h:2"), 2)),
		}, []string{"a", "b"}},
		"started again elsewhere, with a clock that stepped back": {[]Servers{
			present(born(server("a", "h:1"), 9)), present(server("b", "h:1")), present(born(server("a", "h:2"), 2)),
		}, []string{"a", "b"}},
		"started again at the address of another": {[]Servers{
			present(born(server("a", "h:1"), 1), server("b", "h:2")), present(born(server("a", "h:2"), 2)),
		}, []string{"a"}},
		"a service that is not declared": {[]Servers{present(server("a", "h:1")), present(stranger)}, []string{"a", "x"}},
		"the older one moved: both live": {[]Servers{present(server("a", "h:1")), present(server("a", "h:2")), present(server("b", "h:1"))}, []string{"a", "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			following(t, func(t *testing.T, v *View, s *fakeSource) {
				s.declared <- answer[Declared]{value: Declared{Config: declared}}
				for _, change := range test.changes {
					s.servers <- answer[Servers]{value: change}
				}
				synctest.Wait()
				var got []string
				for _, server := range v.Servers() {
					got = append(got, server.ID)
				}
				slices.Sort(got)
				if !slices.Equal(got, test.want) {
					t.Errorf("%v are listed, want %v", got, test.want)
				}
			})
		})
	}
}

func TestGraceFitsTheDrainBound(t *testing.T) {
	for name, test := range map[string]struct {
		drain time.Duration
		want  time.Duration
	}{
		"no bound":        {0, lapseGrace},
		"a wide bound":    {5 * time.Second, lapseGrace},
		"a tight bound":   {time.Second, time.Second - drainMargin},
		"one of no grace": {drainMargin / 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			v := New(nil, Options{Log: &log.Logger{Handler: discard.Default, Level: log.InfoLevel}, Drain: test.drain})
			v.servers["a"] = contract.Server{ID: "a"}
			v.miss("a", now)
			if got := v.missing["a"].until.Sub(now); got != test.want {
				t.Errorf("a missing server counts for %s, want %s", got, test.want)
			}
		})
	}
}

// TestBoundsComeDuringSuspensions proves that the bound on an older version comes when it does for all others, though the machine
// was suspended meanwhile.
func TestBoundsComeDuringSuspensions(t *testing.T) {
	v := New(nil, Options{VersionBound: 8 * time.Second})
	v.OfferTarget(contract.Target{Model: "m", Version: 1}, time.Minute)
	v.OfferTarget(contract.Target{Model: "m", Version: 2}, 0)
	before, _ := v.Due("m", 1)
	left := clock.Until(before)
	clock.Skip(5 * time.Second)
	t.Cleanup(func() { clock.Skip(-5 * time.Second) })
	after, older := v.Due("m", 1)
	if now := clock.Until(after); !older || now > left-5*time.Second {
		t.Errorf("%s left before the suspension of 5 s, %s after it", left, now)
	}
}
