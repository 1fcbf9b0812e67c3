package discovery

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

// fakeSource returns what tests send on its channels; a call blocks until then or until its wait ends.
type fakeSource struct {
	declared  chan response[Declared]
	servers   chan response[Servers]
	fullReads int
}

type response[T any] struct {
	value T
	err   error
}

func newFakeSource() *fakeSource {
	return &fakeSource{declared: make(chan response[Declared]), servers: make(chan response[Servers])}
}

func receive[T any](ctx context.Context, from chan response[T], wait time.Duration) (T, error) {
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
	s.fullReads++
	return receive(ctx, s.declared, time.Hour)
}

func (s *fakeSource) DeclaredAfter(ctx context.Context, _ Cursor, wait time.Duration) (Declared, error) {
	return receive(ctx, s.declared, wait)
}

func (s *fakeSource) Servers(ctx context.Context) (Servers, error) {
	return receive(ctx, s.servers, time.Hour)
}

func (s *fakeSource) ServersAfter(ctx context.Context, _ Cursor, wait time.Duration) (Servers, error) {
	return receive(ctx, s.servers, wait)
}

func config(revision contract.Revision) *contract.Config {
	return contract.NewConfig(revision, contract.Limits{}, nil, nil, nil)
}

// runFollowing runs a view that follows a fake source, in virtual time.
func runFollowing(t *testing.T, test func(t *testing.T, v *View, s *fakeSource)) {
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
		answers []response[Declared]
		want    contract.Revision
	}{
		"a newer one is applied": {[]response[Declared]{{value: Declared{Config: config(4)}}, {value: Declared{Config: config(9)}}}, 9},
		"an older one is not":    {[]response[Declared]{{value: Declared{Config: config(9)}}, {value: Declared{Config: config(4)}}}, 9},
		"an undecodable row keeps the last one": {
			[]response[Declared]{{value: Declared{Config: config(4)}}, {value: Declared{Errors: []error{errors.New("no JSON")}}}}, 4,
		},
		"an outage of the store keeps the last one": {
			[]response[Declared]{{value: Declared{Config: config(4)}}, {err: errors.New("away")}, {err: errors.New("away")}}, 4,
		},
		"an older full read after the history is gone is not applied": {
			[]response[Declared]{{value: Declared{Config: config(9)}}, {err: &HistoryGoneError{}}, {value: Declared{Config: config(4)}}}, 9,
		},
	} {
		t.Run(name, func(t *testing.T) {
			runFollowing(t, func(t *testing.T, v *View, s *fakeSource) {
				for _, a := range test.answers {
					s.declared <- a
				}
				synctest.Wait()
				if got := v.Config().Revision; got != test.want {
					t.Errorf("revision %d, want %d", got, test.want)
				}
			})
		})
	}
}

func TestHistoryGoneReadsTheWhole(t *testing.T) {
	runFollowing(t, func(t *testing.T, _ *View, s *fakeSource) {
		s.declared <- response[Declared]{value: Declared{Config: config(1)}}
		s.declared <- response[Declared]{err: &HistoryGoneError{}}
		s.declared <- response[Declared]{value: Declared{Config: config(2)}}
		synctest.Wait()
		if s.fullReads != 2 {
			t.Errorf("%d full reads, want 2", s.fullReads)
		}
	})
}

func TestServersThatAreNoLongerListed(t *testing.T) {
	server := contract.Server{ID: "a", Service: "s", Address: "h:1"}
	for name, test := range map[string]struct {
		changes []Servers
		// outage makes a call fail before the last change.
		outage  bool
		after   time.Duration
		listed  bool
		missing bool
	}{
		"present": {changes: []Servers{{Present: []contract.Server{server}}}, listed: true},
		"gone counts as missing at first": {
			changes: []Servers{{Present: []contract.Server{server}}, {Removed: []string{"a"}}}, after: time.Second, listed: true, missing: true,
		},
		"gone is gone after the grace": {
			changes: []Servers{{Present: []contract.Server{server}}, {Removed: []string{"a"}}}, after: 2 * time.Second,
		},
		"gone after an outage has a longer grace": {
			changes: []Servers{{Present: []contract.Server{server}}, {Removed: []string{"a"}}}, outage: true, after: 2 * time.Second,
			listed: true, missing: true,
		},
		"gone after an outage is gone after the longer grace": {
			changes: []Servers{{Present: []contract.Server{server}}, {Removed: []string{"a"}}}, outage: true, after: 3 * time.Second,
		},
		"an undecodable entry is gone at once": {
			changes: []Servers{{Present: []contract.Server{server}}, {Unreadable: []string{"a"}, Errors: []error{errors.New("no JSON")}}},
			after:   time.Millisecond,
		},
		"a decodable entry after an undecodable one is present": {
			changes: []Servers{
				{Present: []contract.Server{server}},
				{Unreadable: []string{"a"}, Errors: []error{errors.New("no JSON")}},
				{Present: []contract.Server{server}},
			},
			after: time.Millisecond, listed: true,
		},
		"listed again is present": {
			changes: []Servers{{Present: []contract.Server{server}}, {Removed: []string{"a"}}, {Present: []contract.Server{server}}},
			after:   time.Second, listed: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			runFollowing(t, func(t *testing.T, v *View, s *fakeSource) {
				for i, change := range test.changes {
					if test.outage && i == len(test.changes)-1 {
						s.servers <- response[Servers]{err: errors.New("away")}
					}
					s.servers <- response[Servers]{value: change}
				}
				time.Sleep(test.after)
				synctest.Wait()
				servers := v.Servers()
				if (len(servers) == 1) != test.listed {
					t.Fatalf("%d servers, want listed %t", len(servers), test.listed)
				}
				if test.listed && servers[0].MissingSince.IsZero() == test.missing {
					t.Errorf("missing since %s, want missing: %t", servers[0].MissingSince, test.missing)
				}
			})
		})
	}
}

func TestDue(t *testing.T) {
	runFollowing(t, func(t *testing.T, v *View, s *fakeSource) {
		s.declared <- response[Declared]{value: Declared{Config: config(1), Targets: []contract.Target{{Model: "m", Version: 1}}}}
		time.Sleep(time.Minute)
		start := time.Now()
		s.declared <- response[Declared]{value: Declared{Targets: []contract.Target{{Model: "m", Version: 2}}}}
		time.Sleep(3 * time.Second)
		s.declared <- response[Declared]{value: Declared{Targets: []contract.Target{{Model: "m", Version: 3}}}}
		synctest.Wait()
		for version, want := range map[contract.Version]time.Duration{1: 8 * time.Second, 2: 11 * time.Second} {
			due, ok := v.VersionDeadline("m", version)
			if !ok || due.Sub(start).Round(time.Millisecond) != want {
				t.Errorf("deadline of version %d after %s, want %s", version, due.Sub(start), want)
			}
		}
		if _, ok := v.VersionDeadline("m", 3); ok {
			t.Error("the newest version has a deadline")
		}
		if version, _ := v.Target("m"); version != 3 {
			t.Errorf("target version %d, want 3", version)
		}
	})
}

func TestTargetDefaultsToLoadedVersion(t *testing.T) {
	runFollowing(t, func(t *testing.T, v *View, s *fakeSource) {
		s.servers <- response[Servers]{value: Servers{Present: []contract.Server{
			{ID: "a", Loaded: map[string]contract.Version{"m": 1}}, {ID: "b"},
		}}}
		synctest.Wait()
		if version, _ := v.Target("m"); version != 1 {
			t.Errorf("target version %d, want 1, which a server runs", version)
		}
	})
}

func TestUnreadEntryOfTheWholeNamesNoServer(t *testing.T) {
	runFollowing(t, func(t *testing.T, v *View, s *fakeSource) {
		s.servers <- response[Servers]{value: Servers{Present: []contract.Server{{ID: "a"}, {ID: "b"}}}}
		s.servers <- response[Servers]{err: &HistoryGoneError{}}
		s.servers <- response[Servers]{value: Servers{Present: []contract.Server{{ID: "b"}}, Unreadable: []string{"a"}}}
		time.Sleep(time.Millisecond)
		if servers := v.Servers(); len(servers) != 1 || servers[0].ID != "b" {
			t.Errorf("%v are listed, want only the server with a decodable entry", servers)
		}
	})
}

func TestSettleFollowsTheSize(t *testing.T) {
	for name, test := range map[string]struct {
		size int
		want time.Duration
	}{
		"unknown size":      {0, DefaultCoalesceDelay},
		"small change":      {maxReadRate / 128, time.Second / 128},
		"large change":      {maxReadRate / 4, 250 * time.Millisecond},
		"very large change": {maxReadRate * 9, DefaultCoalesceDelay},
	} {
		t.Run(name, func(t *testing.T) {
			if got := coalesceDelay(test.size, DefaultCoalesceDelay); got != test.want {
				t.Errorf("delay %s, want %s", got, test.want)
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
	undeclared := contract.Server{ID: "x", Service: "not declared", Address: "h:1"}
	declared := contract.NewConfig(1, contract.Limits{}, nil, []contract.Service{{Name: "s"}}, nil)
	present := func(servers ...contract.Server) Servers { return Servers{Present: servers} }
	for name, test := range map[string]struct {
		changes []Servers
		want    []string
	}{
		"two addresses":               {[]Servers{present(server("a", "h:1"), server("b", "h:2"))}, []string{"a", "b"}},
		"newer server at an address":  {[]Servers{present(server("a", "h:1")), present(server("b", "h:1"))}, []string{"b"}},
		"written later in one list":   {[]Servers{present(server("a", "h:1"), server("b", "h:1"))}, []string{"b"}},
		"late heartbeat of the older": {[]Servers{present(server("a", "h:1")), present(server("b", "h:1")), present(server("a", "h:1"))}, []string{"b"}},
		"the newer one is gone":       {[]Servers{present(server("a", "h:1")), present(server("b", "h:1")), {Removed: []string{"b"}}}, []string{"a", "b"}},
		"third server at an address":  {[]Servers{present(server("a", "h:1")), present(server("b", "h:1")), present(server("c", "h:1"))}, []string{"c"}},
		"restarted at its address": {[]Servers{
			present(server("a", "h:1")), present(server("b", "h:1")), present(born(server("a", "h:1"), 2)), present(born(server("a", "h:1"), 3)),
		}, []string{"a"}},
		"restarted at a new address": {[]Servers{
			present(born(server("a", "h:1"), 1)), present(server("b", "h:1")), present(born(server("a", "h:2"), 2)),
		}, []string{"a", "b"}},
		"restarted at a new address with its clock set back": {[]Servers{
			present(born(server("a", "h:1"), 9)), present(server("b", "h:1")), present(born(server("a", "h:2"), 2)),
		}, []string{"a", "b"}},
		"restarted at the address of another": {[]Servers{
			present(born(server("a", "h:1"), 1), server("b", "h:2")), present(born(server("a", "h:2"), 2)),
		}, []string{"a"}},
		"server of an undeclared service":     {[]Servers{present(server("a", "h:1")), present(undeclared)}, []string{"a", "x"}},
		"the older one moved, both are alive": {[]Servers{present(server("a", "h:1")), present(server("a", "h:2")), present(server("b", "h:1"))}, []string{"a", "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			runFollowing(t, func(t *testing.T, v *View, s *fakeSource) {
				s.declared <- response[Declared]{value: Declared{Config: declared}}
				for _, change := range test.changes {
					s.servers <- response[Servers]{value: change}
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
		"no bound":          {0, missingGrace},
		"wide bound":        {5 * time.Second, missingGrace},
		"tight bound":       {time.Second, time.Second - drainMargin},
		"bound below grace": {drainMargin / 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			v := New(nil, Options{Log: &log.Logger{Handler: discard.Default, Level: log.InfoLevel}, DrainTimeout: test.drain})
			v.servers["a"] = contract.Server{ID: "a"}
			v.markMissing("a", now)
			if got := v.missing["a"].until.Sub(now); got != test.want {
				t.Errorf("grace period %s, want %s", got, test.want)
			}
		})
	}
}

// TestBoundsComeDuringSuspensions checks that the deadline of an older version does not move when the machine is suspended.
func TestBoundsComeDuringSuspensions(t *testing.T) {
	v := New(nil, Options{VersionBound: 8 * time.Second})
	v.ObservePeerTarget(contract.Target{Model: "m", Version: 1}, time.Minute)
	v.ObservePeerTarget(contract.Target{Model: "m", Version: 2}, 0)
	before, _ := v.VersionDeadline("m", 1)
	left := clock.Until(before)
	clock.Advance(5 * time.Second)
	t.Cleanup(func() { clock.Advance(-5 * time.Second) })
	after, older := v.VersionDeadline("m", 1)
	if now := clock.Until(after); !older || now > left-5*time.Second {
		t.Errorf("%s left before a suspension of 5 s, %s after it", left, now)
	}
}
