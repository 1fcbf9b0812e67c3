package fleet

// Kind is the kind of a service's upstreams.
type Kind string

// The kinds of service.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Preference is what a rollout of the fleet minimizes first.
type Preference string

// The preferences of a fleet; the zero value counts as PreferOriginBytes.
const (
	PreferOriginBytes Preference = "origin-bytes"
	PreferTime        Preference = "time"
)

// DefaultRolloutShare is the default percentage of a service's replicas that may drain at a time.
const DefaultRolloutShare = 25

// Service is one service of a fleet as its operators declared it.
type Service struct {
	Name         string `cbor:"1,keyasint"`
	Kind         Kind   `cbor:"2,keyasint"`
	Replicas     int    `cbor:"3,keyasint"`
	Once         bool   `cbor:"4,keyasint,omitempty"`
	RolloutShare int    `cbor:"5,keyasint,omitempty"`
	Version      string `cbor:"6,keyasint,omitempty"`
}

// Draining returns how many replicas of the service may drain at a time, at least one.
func (s Service) Draining() int {
	share := s.RolloutShare
	if share <= 0 {
		share = DefaultRolloutShare
	}
	return max(1, s.Replicas*share/100)
}

// WithOnce returns the service with its requests limited, or not, to run at most once.
func (s Service) WithOnce(once bool) Service {
	s.Once = once
	return s
}

// WithReplicas returns the service with another number of replicas.
func (s Service) WithReplicas(n int) Service {
	s.Replicas = n
	return s
}

// WithRolloutShare returns the service with another rollout share, in percent.
func (s Service) WithRolloutShare(percent int) Service {
	s.RolloutShare = percent
	return s
}

// WithVersion returns the service with another declared version.
func (s Service) WithVersion(name string) Service {
	s.Version = name
	return s
}

// Version is a named set of weights of a service; Digest is the digest of its manifest.
type Version struct {
	Service string `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	Digest  string `cbor:"3,keyasint"`
}

// Key returns the key of the version within its fleet.
func (v Version) Key() string {
	return VersionKey(v.Service, v.Name)
}

// VersionKey returns the key of a service's version within its fleet.
func VersionKey(service, name string) string {
	return service + "/" + name
}

// Team is one customer of a fleet with its limits; a limit of 0 means the default.
type Team struct {
	Name        string `cbor:"1,keyasint"`
	Concurrency int    `cbor:"2,keyasint,omitempty"`
	Weight      int    `cbor:"3,keyasint,omitempty"`
}

// WithConcurrency returns the team with another limit of requests in progress per entry.
func (t Team) WithConcurrency(n int) Team {
	t.Concurrency = n
	return t
}

// WithWeight returns the team with another share of a contended service.
func (t Team) WithWeight(n int) Team {
	t.Weight = n
	return t
}
