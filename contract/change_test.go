package contract

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// randomConfig returns a configuration of some of a few routes, services and teams.
func randomConfig(rng *rand.Rand, revision Revision) *Config {
	var routes []Route
	var services []Service
	var teams []Team
	for i := range 6 {
		if rng.IntN(2) == 0 {
			routes = append(routes, Route{Name: fmt.Sprint("r", i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Attempts: rng.IntN(2), Homes: []string{"a"}})
		}
		if rng.IntN(2) == 0 {
			services = append(services, Service{Name: fmt.Sprint("s", i), MaxConns: rng.IntN(2), Engine: &Engine{Slots: rng.IntN(2)}})
		}
		if rng.IntN(2) == 0 {
			teams = append(teams, Team{Name: fmt.Sprint("t", i), Keys: []string{fmt.Sprint("k", i, rng.IntN(2))}})
		}
	}
	return NewConfig(revision, Limits{BodyBytes: int64(rng.IntN(3))}, routes, services, teams)
}

// TestConfigChanges checks over random configurations that a change, sent as it is on links, makes the one from the other.
func TestConfigChanges(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	old := randomConfig(rng, 1)
	for n := range 200 {
		next := randomConfig(rng, Revision(n+2))
		data, err := cbor.Marshal(DiffConfigs(old, next))
		if err != nil {
			t.Fatal(err)
		}
		var change ConfigChange
		if err := cbor.Unmarshal(data, &change); err != nil {
			t.Fatal(err)
		}
		got, ok := old.WithChange(change)
		if !ok || got.Revision != next.Revision || got.Limits != next.Limits || got.Routes() != next.Routes() || got.Keyed != next.Keyed {
			t.Fatalf("changed to %+v, want %+v", got, next)
		}
		if left := DiffConfigs(got, next); len(left.PutRoutes)+len(left.DropRoutes)+len(left.PutServices)+len(left.DropServices)+len(left.PutTeams)+len(left.DropTeams) > 0 {
			t.Fatalf("still differs by %+v", left)
		}
		for i := range 6 {
			for key := range 2 {
				secret := fmt.Sprint("k", i, key)
				if (got.Team(secret) == nil) != (next.Team(secret) == nil) {
					t.Fatalf("key %s of revision %d differs", secret, next.Revision)
				}
			}
		}
		old = next
	}
}

func TestChangesOfAnotherBase(t *testing.T) {
	first, second := NewConfig(1, Limits{}, nil, nil, nil), NewConfig(2, Limits{}, []Route{{Host: "h"}}, nil, nil)
	change := DiffConfigs(first, second)
	for name, test := range map[string]struct {
		cfg  *Config
		want bool
	}{
		"its base":     {first, true},
		"another base": {second, false},
		"none":         {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			if _, ok := test.cfg.WithChange(change); ok != test.want {
				t.Errorf("applied: %t, want %t", ok, test.want)
			}
		})
	}
	if whole := DiffConfigs(nil, second); whole.Base != 0 {
		t.Error("a change from nothing has a base")
	}
	double := NewConfig(3, Limits{}, []Route{{Host: "h", Name: "a"}, {Host: "h", Name: "b"}}, nil, nil)
	if change := DiffConfigs(second, double); change.Base != 0 || len(change.PutRoutes) != 2 {
		t.Errorf("routes that share a key are sent as the change %+v", change)
	}
}
