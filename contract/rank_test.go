package contract

import (
	"testing"
	"time"
)

func TestRank(t *testing.T) {
	routes := []Route{
		{Name: "draft", Priority: 0, Split: []Share{{Service: "models", Weight: 1}}},
		{Name: "review", Priority: 2, Split: []Share{{Service: "models", Weight: 1}}},
		{Name: "lookup", Priority: 2, Split: []Share{{Service: "plain", Weight: 1}}},
		{Name: "status", Priority: 1, Public: true, Split: []Share{{Service: "open", Weight: 1}}},
	}
	same := []Team{{Name: "a", Keys: []string{"ka"}, Priority: 1, HasPriority: true}, {Name: "b", Keys: []string{"kb"}, Priority: 1, HasPriority: true}}
	first := []Team{{Name: "a", Keys: []string{"ka"}, Priority: 0, HasPriority: true}, {Name: "b", Keys: []string{"kb"}}}
	for name, test := range map[string]struct {
		teams   []Team
		service string
		route   int
		key     string
		want    int
		ranked  bool
	}{
		"urgent route of teams alike":                  {same, "models", 0, "ka", 0, true},
		"less urgent route of teams alike":             {same, "models", 1, "kb", 1, true},
		"one rank only":                                {same, "plain", 2, "ka", 0, false},
		"less urgent route of the first team":          {first, "models", 1, "ka", 1, true},
		"urgent route of a team after it":              {first, "models", 0, "kb", 2, true},
		"teams that differ make a service ranked":      {first, "plain", 2, "kb", 1, true},
		"without keys teams don't matter":              {nil, "plain", 2, "", 0, false},
		"a public route has no team":                   {first, "open", 3, "", 0, false},
		"a service that no route leads to has no rank": {first, "none", 0, "ka", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := NewConfig(1, Limits{}, routes, nil, test.teams)
			if got := cfg.Rank(test.service, &routes[test.route], cfg.Team(test.key)); got != test.want {
				t.Errorf("rank %d, want %d", got, test.want)
			}
			if got := cfg.Ranked(test.service); got != test.ranked {
				t.Errorf("ranked %t, want %t", got, test.ranked)
			}
		})
	}
}

func TestRanksAreBounded(t *testing.T) {
	var routes []Route
	for priority := range 20 {
		routes = append(routes, Route{Priority: priority, Split: []Share{{Service: "models", Weight: 1}}})
	}
	cfg := NewConfig(1, Limits{}, routes, nil, nil)
	if got := cfg.Rank("models", &routes[19], nil); got != maxRank {
		t.Errorf("least urgent rank %d, want %d", got, maxRank)
	}
}

func TestTightestGoal(t *testing.T) {
	to := func(service string) []Share { return []Share{{Service: service, Weight: 1}} }
	cfg := NewConfig(1, Limits{}, []Route{
		{Goal: 900 * time.Millisecond, Split: to("models")}, {Goal: 400 * time.Millisecond, Priority: 3, Split: to("models")}, {Split: to("models")}, {Split: to("plain")},
	}, nil, nil)
	for service, want := range map[string]time.Duration{"models": 400 * time.Millisecond, "plain": 0, "none": 0} {
		if got := cfg.TightestGoal(service); got != want {
			t.Errorf("%s: goal %s, want %s", service, got, want)
		}
	}
}
