package contract

import (
	"slices"
	"strings"
)

// Revision numbers configurations; a later one is greater.
type Revision int64

// Config is one accepted configuration, whole; the zero Config allows nothing.
type Config struct {
	Revision Revision
	Limits   Limits
	// Keyed says that requests carry keys, unless their route is public.
	Keyed bool

	routes   map[string][]*Route
	services map[string]*Service
	teams    map[string]*Team
	count    int
}

// NewConfig returns a configuration of its parts, which must not change afterwards.
func NewConfig(revision Revision, limits Limits, routes []Route, services []Service, teams []Team) *Config {
	c := &Config{
		Revision: revision, Limits: limits, Keyed: len(teams) > 0, count: len(routes),
		routes:   make(map[string][]*Route),
		services: make(map[string]*Service, len(services)),
		teams:    make(map[string]*Team),
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		c.routes[host] = append(c.routes[host], &routes[i])
	}
	for _, of := range c.routes {
		slices.SortStableFunc(of, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
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

// Origins returns the services that hand out weights.
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

// Route returns the route of a host with the longest prefix of a path, or nil.
func (c *Config) Route(host, path string) *Route {
	host = strings.ToLower(host)
	of, ok := c.routes[host]
	if !ok {
		name, _, _ := strings.Cut(host, ":")
		of = c.routes[name]
	}
	for _, route := range of {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Routes returns the number of routes.
func (c *Config) Routes() int { return c.count }

// Service returns a service by its name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Team returns the team that holds a key, or nil.
func (c *Config) Team(key string) *Team { return c.teams[key] }
