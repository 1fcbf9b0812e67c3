package forward

import (
	"testing"

	"github.com/coralstair/coralstair/contract"
)

// TestServersAreToldRanks checks what model servers order waiting requests by: ranks where they differ, and the priorities as
// declared where they don't.
func TestServersAreToldRanks(t *testing.T) {
	team := contract.Team{Name: "t", Keys: []string{"k"}, Priority: 1, HasPriority: true}
	route := func(service string, priority int) contract.Route {
		return contract.Route{Priority: priority, Split: []contract.Share{{Service: service, Weight: 1}}}
	}
	routes := []contract.Route{route("ranked", 0), route("ranked", 1), route("ranked", 2), route("alike", 2), route("plain", 0), route("plain", 2)}
	engine := &contract.Engine{Slots: 8}
	services := []contract.Service{{Name: "ranked", Engine: engine}, {Name: "alike", Engine: engine}, {Name: "plain"}}
	cfg := contract.NewConfig(1, contract.Limits{}, routes, services, []contract.Team{team})
	for name, test := range map[string]struct {
		service string
		route   int
		urgent  bool
		want    int
	}{
		"most urgent route":                     {"ranked", 0, false, 1},
		"next route":                            {"ranked", 1, false, 2},
		"least urgent route":                    {"ranked", 2, false, 3},
		"in progress at another server":         {"ranked", 2, true, topPriority},
		"routes alike: the team's priority":     {"alike", 3, false, 1},
		"service without an engine: the team's": {"plain", 5, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := &call{route: &routes[test.route], service: cfg.Service(test.service), team: cfg.Team("k"), urgent: test.urgent}
			c.setRank(cfg)
			if got := c.priority(); got != test.want {
				t.Errorf("priority %d, want %d", got, test.want)
			}
		})
	}
}

// TestRankedCallsShareAPool checks that admission counts calls of all homes together where ranks differ, and apart elsewhere.
func TestRankedCallsShareAPool(t *testing.T) {
	homes := contract.HomesOf(&contract.Route{Homes: []string{"r"}}, nil)
	for name, test := range map[string]struct {
		homes  contract.Homes
		ranked bool
		want   string
	}{
		"all homes":          {contract.Homes{}, false, "s"},
		"some homes":         {homes, false, "s@" + homes.String()},
		"all homes, ranked":  {contract.Homes{}, true, "s"},
		"some homes, ranked": {homes, true, "s"},
	} {
		t.Run(name, func(t *testing.T) {
			c := &call{service: &contract.Service{Name: "s"}, homes: test.homes, ranked: test.ranked}
			if got := c.pool(); got != test.want {
				t.Errorf("pool %q, want %q", got, test.want)
			}
		})
	}
}
