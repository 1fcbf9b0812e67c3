package contract

import (
	"maps"
	"slices"
	"time"
)

const (
	// defaultPriority is the priority of a request without a team, and of a team without one of its own.
	defaultPriority = 5
	// maxRank is the least urgent rank: servers tell ten priorities apart, and the first is for requests already in progress elsewhere.
	maxRank = 8
)

// ranks are the distinct priorities of the teams and of the routes with requests for one service, most urgent first, and the tightest goal
// of the routes, 0 without one.
type ranks struct {
	teams, routes []int
	goal          time.Duration
}

// newRanks returns the ranks of each service that a route leads to; keyed is set if routes that are not public need a team's key.
func newRanks(keyed bool, routes []Route, teams []Team) map[string]*ranks {
	type priorities struct {
		teams, routes map[int]bool
		goal          time.Duration
	}
	ofTeams := make(map[int]bool)
	for i := range teams {
		ofTeams[teams[i].priority()] = true
	}
	found := make(map[string]*priorities)
	for i := range routes {
		route := &routes[i]
		for _, share := range route.Split {
			p, ok := found[share.Service]
			if !ok {
				p = &priorities{teams: make(map[int]bool), routes: make(map[int]bool)}
				found[share.Service] = p
			}
			p.routes[route.Priority] = true
			if route.Goal > 0 && (p.goal == 0 || route.Goal < p.goal) {
				p.goal = route.Goal
			}
			if route.Public || !keyed {
				p.teams[defaultPriority] = true
			} else {
				maps.Copy(p.teams, ofTeams)
			}
		}
	}
	all := make(map[string]*ranks, len(found))
	for service, p := range found {
		all[service] = &ranks{teams: slices.Sorted(maps.Keys(p.teams)), routes: slices.Sorted(maps.Keys(p.routes)), goal: p.goal}
	}
	return all
}

// Ranked reports whether requests for a service differ in rank, so that callers compete by it.
func (c *Config) Ranked(service string) bool {
	r := c.ranks[service]
	return r != nil && len(r.teams)*len(r.routes) > 1
}

// TightestGoal returns the tightest latency goal of the routes to a service, 0 without one.
func (c *Config) TightestGoal(service string) time.Duration {
	if r := c.ranks[service]; r != nil {
		return r.goal
	}
	return 0
}

// Rank returns the rank of a team's request on a route to a service, 0 the most urgent: the team's priority decides, and that of the
// route among equals. team is nil for a request without a key.
func (c *Config) Rank(service string, route *Route, team *Team) int {
	r := c.ranks[service]
	if r == nil {
		return 0
	}
	ofTeam := defaultPriority
	if team != nil {
		ofTeam = team.priority()
	}
	i, _ := slices.BinarySearch(r.teams, ofTeam)
	j, _ := slices.BinarySearch(r.routes, route.Priority)
	return min(i*len(r.routes)+j, maxRank)
}

// priority returns the team's priority, or the default without one.
func (t *Team) priority() int {
	if t.HasPriority {
		return t.Priority
	}
	return defaultPriority
}
