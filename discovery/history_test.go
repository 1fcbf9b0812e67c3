package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/coralstair/coralstair/contract"
)

// TestWhenVersionsWereNamed checks which naming times count when several daemons tell them, in whatever order.
func TestWhenVersionsWereNamed(t *testing.T) {
	const s = time.Second
	start := time.Unix(1000, 0)
	named := func(version contract.Version, at time.Duration) namedVersion {
		return namedVersion{version: version, at: start.Add(at)}
	}
	estimated := func(version contract.Version, at time.Duration) namedVersion {
		n := named(version, at)
		n.estimated = true
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
		"known after it was estimated earlier": {[]namedVersion{estimated(3, 3*s), named(3, 5*s)}, 5 * s, 2},
		"estimated after it was known":         {[]namedVersion{named(3, 5*s), estimated(3, 3*s)}, 5 * s, 1},
		"a newer version known to be earlier":  {[]namedVersion{named(3, 5*s), named(4, 4*s)}, 4 * s, 2},
	} {
		t.Run(name, func(t *testing.T) {
			var h history
			changes := 0
			for _, n := range test.told {
				if changed, _ := h.add(n); changed {
					changes++
				}
			}
			at, ok := h.after(2)
			if !ok || at.Sub(start) != test.replaces || changes != test.changes {
				t.Errorf("replaced %t at %s with %d changes, want %s and %d", ok, at.Sub(start), changes, test.replaces, test.changes)
			}
		})
	}
}

// TestHistoryIsBounded checks that the newest versions are kept, and that one too old to be kept changes nothing.
func TestHistoryIsBounded(t *testing.T) {
	var h history
	for version := range contract.Version(3 * maxNamed) {
		h.add(namedVersion{version: version + 2, at: time.Unix(int64(version), 0)})
	}
	if changed, _ := h.add(namedVersion{version: 1}); changed || len(h.versions) != maxNamed {
		t.Errorf("%d versions, a very old one changed them: %t", len(h.versions), changed)
	}
	if newest, _ := h.newest(); newest != 3*maxNamed+1 {
		t.Errorf("newest version %d", newest)
	}
}

// TestStartEstimatesWhenVersionsWereNamed guards against an entry that starts after two versions were named and lets requests begin on the
// one before for half a bound too long: peers correct what it estimates.
func TestStartEstimatesWhenVersionsWereNamed(t *testing.T) {
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
		if got := due(); got != bound/2 {
			t.Errorf("requests may begin on version 2 for %s, want %s by estimate", got, bound/2)
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
