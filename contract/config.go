package contract

import (
	"slices"
	"strings"
)

// Revision is the number of a configuration; a later one is greater.
type Revision int64

// Config is a complete accepted configuration; the zero Config has no routes.
type Config struct {
	Revision Revision
	Limits   Limits
	// Keyed says that requests need a key unless their route is public.
	Keyed bool

	routes     map[string][]*Route
	services   map[string]*Service
	teams      map[string]*Team
	routeCount int
	// The parts as they were given.
	routeList   []Route
	serviceList []Service
	teamList    []Team
	// bound is set if a route or a team has homes.
	bound bool
	// ranks are the ranks of requests by service.
	ranks map[string]*ranks
}

// NewConfig returns a configuration of the given parts, which must not be modified afterwards.
func NewConfig(revision Revision, limits Limits, routes []Route, services []Service, teams []Team) *Config {
	c := &Config{
		Revision: revision, Limits: limits, Keyed: len(teams) > 0, routeCount: len(routes),
		routeList: routes, serviceList: services, teamList: teams,
		bound:    slices.ContainsFunc(routes, func(r Route) bool { return len(r.Homes) > 0 }) || slices.ContainsFunc(teams, func(t Team) bool { return len(t.Homes) > 0 }),
		routes:   make(map[string][]*Route),
		services: make(map[string]*Service, len(services)),
		teams:    make(map[string]*Team),
		ranks:    newRanks(len(teams) > 0, routes, teams),
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		c.routes[host] = append(c.routes[host], &routes[i])
	}
	for _, routesOfHost := range c.routes {
		slices.SortStableFunc(routesOfHost, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range services {
		c.services[services[i].Name] = &services[i]
	}
	for i := range teams {
		for _, key := range teams[i].Keys {
			c.teams[key] = &teams[i]
		}
	}
	return c
}

// Origins returns the services that serve weights, sorted by name.
func (c *Config) Origins() []*Service {
	var origins []*Service
	for _, service := range c.services {
		if service.Origin != "" {
			origins = append(origins, service)
		}
	}
	slices.SortFunc(origins, func(a, b *Service) int { return strings.Compare(a.Name, b.Name) })
	return origins
}

// BoundToRegions reports whether some requests may be served in some regions only.
func (c *Config) BoundToRegions() bool { return c.bound }

// Route returns the route of a host with the longest prefix that matches a path, or nil.
func (c *Config) Route(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := c.routes[host]
	if !ok {
		name, _, _ := strings.Cut(host, ":")
		routes = c.routes[name]
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Routes returns the number of routes.
func (c *Config) Routes() int { return c.routeCount }

// Service returns a service by its name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Team returns the team that holds a key, or nil.
func (c *Config) Team(key string) *Team { return c.teams[key] }
