package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/store"
)

// TestWhenVersionsWereNamed checks which naming times count when several daemons tell them, in whatever order.
func TestWhenVersionsWereNamed(t *testing.T) {
	const s = time.Second
	start := time.Unix(1000, 0)
	named := func(version contract.Version, at time.Duration) namedVersion {
		return namedVersion{version: version, at: start.Add(at)}
	}
	unknown := func(version contract.Version) namedVersion { return namedVersion{version: version} }
	byStore := func(version contract.Version, at time.Duration) namedVersion {
		n := named(version, at)
		n.notBefore = store.Time(1 + at.Milliseconds())
		return n
	}
	for name, test := range map[string]struct {
		told []namedVersion
		// replaces is when the first version after version 2 was named, changes how many of the messages changed anything.
		replaces time.Duration
		changes  int
	}{
		"in order":                             {[]namedVersion{named(2, 0), named(3, 3*s), named(4, 5*s)}, 3 * s, 3},
		"an older version later":               {[]namedVersion{named(4, 5*s), named(3, 3*s)}, 3 * s, 2},
		"an earlier time":                      {[]namedVersion{named(3, 5*s), named(3, 3*s)}, 3 * s, 2},
		"a later time":                         {[]namedVersion{named(3, 3*s), named(3, 5*s)}, 3 * s, 1},
		"a time that messages explain":         {[]namedVersion{named(3, 3*s), named(3, 3*s-namedTolerance/2)}, 3 * s, 1},
		"known after it was unknown":           {[]namedVersion{unknown(3), named(3, 5*s)}, 5 * s, 2},
		"unknown after it was known":           {[]namedVersion{named(3, 5*s), unknown(3)}, 5 * s, 1},
		"a newer version known to be earlier":  {[]namedVersion{named(3, 5*s), named(4, 4*s)}, 4 * s, 2},
		"by the store's clock, a later time":   {[]namedVersion{byStore(3, 3*s), byStore(3, 5*s)}, 5 * s, 2},
		"by the store's clock, an earlier one": {[]namedVersion{byStore(3, 5*s), byStore(3, 3*s)}, 5 * s, 1},
		"by the store's clock after an age":    {[]namedVersion{named(3, 3*s), byStore(3, 4*s)}, 4 * s, 2},
		"an age after the store's clock":       {[]namedVersion{byStore(3, 4*s), named(3, 3*s)}, 4 * s, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var h history
			changes := 0
			for _, n := range test.told {
				if changed, _ := h.add(n); changed {
					changes++
				}
			}
			v := New(newFakeSource(), Options{})
			v.targets["m"] = &h
			at, ok := v.VersionDeadline("m", 2)
			if !ok || at.Sub(start) != test.replaces || changes != test.changes {
				t.Errorf("replaced %t at %s with %d changes, want %s and %d", ok, at.Sub(start), changes, test.replaces, test.changes)
			}
		})
	}
}

// TestHistoryIsBounded checks that the newest versions are kept, and that one too old to be kept changes nothing.
func TestHistoryIsBounded(t *testing.T) {
	var h history
	for version := range contract.Version(3 * MaxNamed) {
		h.add(namedVersion{version: version + 2, at: time.Unix(int64(version), 0)})
	}
	if changed, _ := h.add(namedVersion{version: 1}); changed || len(h.versions) != MaxNamed {
		t.Errorf("%d versions, a very old one changed them: %t", len(h.versions), changed)
	}
	if newest := h.newest(); newest != 3*MaxNamed+1 {
		t.Errorf("newest version %d", newest)
	}
}

// TestStartKnowsNotWhenVersionsWereNamed guards against an entry that starts after two versions were named and lets requests begin on the
// one before past its bound: it knows a time only once another daemon tells it.
func TestStartKnowsNotWhenVersionsWereNamed(t *testing.T) {
	const bound = 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		source := newFakeSource()
		v := New(source, Options{Log: &log.Logger{Handler: discard.Default, Level: log.InfoLevel}, VersionBound: bound})
		go func() { _ = v.ServeDeclared(t.Context()) }()
		source.declared <- response[Declared]{value: Declared{
			Config: contract.NewConfig(1, contract.Limits{}, nil, nil, nil), Targets: []contract.Target{{Model: "m", Version: 4}},
		}}
		synctest.Wait()
		due := func() time.Duration {
			at, _ := v.VersionDeadline("m", 2)
			return time.Until(at)
		}
		if got := due(); got > 0 {
			t.Errorf("requests may begin on version 2 for %s, although it is not known when it was replaced", got)
		}
		v.ObservePeerTarget(contract.Target{Model: "m", Version: 4}, time.Second)
		if got := due(); got != bound-time.Second {
			t.Errorf("requests may begin on version 2 for %s, want %s", got, bound-time.Second)
		}
		v.ObservePeerTarget(contract.Target{Model: "m", Version: 3}, 4*time.Second)
		if got := due(); got != bound-4*time.Second {
			t.Errorf("requests may begin on version 2 for %s, want %s", got, bound-4*time.Second)
		}
	})
}
