package contract

import (
	"reflect"
	"slices"
)

// ConfigChange is what differs between two configurations; applied to an empty one it is a whole configuration.
type ConfigChange struct {
	// Base is the revision to which the change applies; 0 for a whole configuration.
	Base         Revision  `cbor:",omitempty"`
	Revision     Revision  `cbor:",omitempty"`
	Limits       Limits    `cbor:",omitempty"`
	PutRoutes    []Route   `cbor:",omitempty"`
	DropRoutes   []string  `cbor:",omitempty"`
	PutServices  []Service `cbor:",omitempty"`
	DropServices []string  `cbor:",omitempty"`
	PutTeams     []Team    `cbor:",omitempty"`
	DropTeams    []string  `cbor:",omitempty"`
}

// DiffConfigs returns the change from one configuration to another; from may be nil for a whole one. Routes, services and teams that share
// a key make it a whole one too.
func DiffConfigs(from, to *Config) ConfigChange {
	change := ConfigChange{Revision: to.Revision, Limits: to.Limits}
	ok := from != nil
	if ok {
		change.Base = from.Revision
		change.PutRoutes, change.DropRoutes, ok = diffParts(from.routeList, to.routeList, routeKey)
	}
	if ok {
		change.PutServices, change.DropServices, ok = diffParts(from.serviceList, to.serviceList, serviceKey)
	}
	if ok {
		change.PutTeams, change.DropTeams, ok = diffParts(from.teamList, to.teamList, teamKey)
	}
	if ok {
		return change
	}
	return ConfigChange{Revision: to.Revision, Limits: to.Limits, PutRoutes: to.routeList, PutServices: to.serviceList, PutTeams: to.teamList}
}

// WithChange returns the configuration with a change applied; ok is false if the change is of another base.
func (c *Config) WithChange(change ConfigChange) (next *Config, ok bool) {
	if change.Base == 0 {
		return NewConfig(change.Revision, change.Limits, change.PutRoutes, change.PutServices, change.PutTeams), true
	}
	if c == nil || c.Revision != change.Base {
		return nil, false
	}
	return NewConfig(change.Revision, change.Limits,
		withParts(c.routeList, change.PutRoutes, change.DropRoutes, routeKey),
		withParts(c.serviceList, change.PutServices, change.DropServices, serviceKey),
		withParts(c.teamList, change.PutTeams, change.DropTeams, teamKey)), true
}

func routeKey(r Route) string     { return r.Host + "\x00" + r.Prefix }
func serviceKey(s Service) string { return s.Name }
func teamKey(t Team) string       { return t.Name }

// diffParts returns the parts that are new or differ and the keys of those that are gone; ok is false if a key is not unique.
func diffParts[T any](from, to []T, key func(T) string) (put []T, drop []string, ok bool) {
	old, seen := make(map[string]T, len(from)), make(map[string]bool, len(to))
	for _, part := range from {
		old[key(part)] = part
	}
	for _, part := range to {
		known, exists := old[key(part)]
		if !exists || !reflect.DeepEqual(known, part) {
			put = append(put, part)
		}
		seen[key(part)] = true
	}
	for k := range old {
		if !seen[k] {
			drop = append(drop, k)
		}
	}
	return put, drop, len(old) == len(from) && len(seen) == len(to)
}

// withParts returns the parts with some put, in place of those of the same key, and some dropped.
func withParts[T any](parts, put []T, drop []string, key func(T) string) []T {
	gone := make(map[string]bool, len(put)+len(drop))
	for _, k := range drop {
		gone[k] = true
	}
	for _, part := range put {
		gone[key(part)] = true
	}
	next := slices.DeleteFunc(slices.Clone(parts), func(part T) bool { return gone[key(part)] })
	return append(next, put...)
}
