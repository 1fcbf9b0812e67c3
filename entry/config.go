package entry

import (
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/coralstair/coralstair/claim"
	"github.com/coralstair/coralstair/connlimit"
	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/follower"
	"github.com/coralstair/coralstair/invariant"
	"github.com/coralstair/coralstair/keys"
	"github.com/coralstair/coralstair/membership"
	"github.com/coralstair/coralstair/operate"
	"github.com/coralstair/coralstair/route"
)

// Defaults of Config.
const (
	DefaultQueue      = 1000
	DefaultDeadline   = 60 * time.Second
	DefaultBodyLimit  = 8 << 20
	DefaultBoxSlots   = 64
	DefaultDrainLimit = 10 * time.Minute
)

// Ledger is the part of the ledger that an entry uses.
type Ledger interface {
	operate.Ledger
	follower.Ledger
}

// Picker chooses the box for a request among those with room.
type Picker interface {
	Pick(candidates []route.Candidate) (picked route.Candidate, ok bool)
}

// KeyRing looks up keys by their secrets.
type KeyRing interface {
	Find(secret string) (key keys.Key, ok bool)
}

// Config holds the settings and dependencies of an entry; a zero field takes its default if there is one.
type Config struct {
	ID          string
	Fleet       string
	Site        string
	Incarnation string
	Listener    net.Listener
	// Limits bound what clients hold of the entry.
	Limits connlimit.Limits

	// Queue is how many requests of a service may wait.
	Queue int
	// Deadline is how long a request may take if it sets no timeout.
	Deadline time.Duration
	// BodyLimit is the longest request body in bytes.
	BodyLimit int64
	// DrainLimit is how long a leaving entry waits for the requests in progress.
	DrainLimit time.Duration

	Ledger       Ledger
	Claims       claim.Table
	List         membership.List
	ListInterval time.Duration
	Keys         KeyRing
	LinkClient   *http.Client
	Checks       *invariant.Recorder
	// Picker chooses boxes; nil means the less loaded of two random ones.
	Picker Picker
}

func (c Config) withDefaults() Config {
	if c.Queue == 0 {
		c.Queue = DefaultQueue
	}
	if c.Deadline == 0 {
		c.Deadline = DefaultDeadline
	}
	if c.BodyLimit == 0 {
		c.BodyLimit = DefaultBodyLimit
	}
	if c.DrainLimit == 0 {
		c.DrainLimit = DefaultDrainLimit
	}
	if c.Picker == nil {
		c.Picker = &route.Picker{Intn: rand.IntN}
	}
	if c.Checks == nil {
		c.Checks = new(invariant.Recorder)
	}
	return c
}

// serviceOf returns a service of a kind by its name.
func serviceOf(cfg fleet.Config, name string, kind fleet.Kind) (fleet.Service, bool) {
	service, ok := cfg.Services[name]
	return service, ok && service.Kind == kind
}
