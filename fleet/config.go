package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Revision counts the accepted changes of a fleet; it only grows.
type Revision uint64

// Config is the complete declared state of a fleet at one revision.
type Config struct {
	Fleet    string             `cbor:"1,keyasint"`
	Revision Revision           `cbor:"2,keyasint"`
	Prefer   Preference         `cbor:"3,keyasint"`
	Services map[string]Service `cbor:"4,keyasint,omitempty"`
	Versions map[string]Version `cbor:"5,keyasint,omitempty"`
	Teams    map[string]Team    `cbor:"6,keyasint,omitempty"`
	Stopped  map[string]bool    `cbor:"7,keyasint,omitempty"`
	Dropped  bool               `cbor:"8,keyasint,omitempty"`
	// Evacuated are the sites whose boxes get nothing new.
	Evacuated map[string]bool `cbor:"9,keyasint,omitempty"`
}

// Change is one accepted change of the declared state, with its operator and statement.
type Change struct {
	Fleet         string      `cbor:"1,keyasint"`
	Revision      Revision    `cbor:"2,keyasint"`
	Operation     string      `cbor:"3,keyasint"`
	Operator      string      `cbor:"4,keyasint"`
	Statement     string      `cbor:"5,keyasint"`
	At            time.Time   `cbor:"6,keyasint"`
	Prefer        *Preference `cbor:"7,keyasint,omitempty"`
	PutServices   []Service   `cbor:"8,keyasint,omitempty"`
	DropServices  []string    `cbor:"9,keyasint,omitempty"`
	PutVersions   []Version   `cbor:"10,keyasint,omitempty"`
	DropVersions  []string    `cbor:"11,keyasint,omitempty"`
	PutTeams      []Team      `cbor:"12,keyasint,omitempty"`
	StartBoxes    []string    `cbor:"13,keyasint,omitempty"`
	StopBoxes     []string    `cbor:"14,keyasint,omitempty"`
	DropFleet     bool        `cbor:"15,keyasint,omitempty"`
	EvacuateSites []string    `cbor:"16,keyasint,omitempty"`
	ReturnSites   []string    `cbor:"17,keyasint,omitempty"`
}

// DecodeChange decodes a change from CBOR.
func DecodeChange(body []byte) (Change, error) {
	var change Change
	if err := cbor.Unmarshal(body, &change); err != nil {
		return Change{}, &DecodeError{What: "change", Err: err}
	}
	return change, nil
}

// DecodeConfig decodes a configuration from CBOR.
func DecodeConfig(body []byte) (Config, error) {
	var cfg Config
	if err := cbor.Unmarshal(body, &cfg); err != nil {
		return Config{}, &DecodeError{What: "configuration", Err: err}
	}
	return cfg, nil
}

// Declared returns the declared version of a service; ok is false if there is none.
func (c Config) Declared(service string) (version Version, ok bool) {
	svc, ok := c.Services[service]
	if !ok || svc.Version == "" {
		return Version{}, false
	}
	version, ok = c.Versions[VersionKey(service, svc.Version)]
	return version, ok
}

// Digests returns the digests of all versions of a service; during a rollout boxes may serve any of them.
func (c Config) Digests(service string) map[string]bool {
	digests := make(map[string]bool)
	for _, version := range c.Versions {
		if version.Service == service {
			digests[version.Digest] = true
		}
	}
	return digests
}

// Encode encodes the configuration as CBOR.
func (c Config) Encode() ([]byte, error) {
	return cbor.Marshal(c)
}

// ServiceNames returns the sorted names of the services.
func (c Config) ServiceNames() []string {
	return slices.Sorted(maps.Keys(c.Services))
}

// WithChange returns the configuration with a change applied, at the change's revision.
func (c Config) WithChange(change Change) Config {
	next := c
	next.Fleet = change.Fleet
	next.Revision = change.Revision
	next.Dropped = change.DropFleet
	if change.Prefer != nil {
		next.Prefer = *change.Prefer
	}
	next.Services = withPut(c.Services, change.PutServices, func(s Service) string { return s.Name }, change.DropServices)
	next.Versions = withPut(c.Versions, change.PutVersions, Version.Key, change.DropVersions)
	next.Teams = withPut(c.Teams, change.PutTeams, func(t Team) string { return t.Name }, nil)
	next.Stopped = withNames(c.Stopped, change.StopBoxes, change.StartBoxes)
	next.Evacuated = withNames(c.Evacuated, change.EvacuateSites, change.ReturnSites)
	return next
}

// Encode encodes the change as CBOR.
func (c Change) Encode() ([]byte, error) {
	return cbor.Marshal(c)
}

func withPut[T any](old map[string]T, put []T, key func(T) string, drop []string) map[string]T {
	if len(put) == 0 && len(drop) == 0 {
		return old
	}
	next := maps.Clone(old)
	if next == nil {
		next = make(map[string]T, len(put))
	}
	for _, value := range put {
		next[key(value)] = value
	}
	for _, name := range drop {
		delete(next, name)
	}
	return next
}

// withNames returns a set of names with some added and some removed.
func withNames(old map[string]bool, add, remove []string) map[string]bool {
	next := maps.Clone(old)
	if next == nil {
		next = make(map[string]bool, len(add))
	}
	for _, name := range add {
		next[name] = true
	}
	for _, name := range remove {
		delete(next, name)
	}
	return next
}
