package link

import (
	"time"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/store"
)

// The roles of daemons in a Hello.
const (
	RoleEntry = "entry"
	RoleBox   = "box"
)

// Hello is the first message on a link and identifies its sender.
type Hello struct {
	ID          string         `cbor:"1,keyasint"`
	Role        string         `cbor:"2,keyasint"`
	Fleet       string         `cbor:"3,keyasint"`
	Site        string         `cbor:"4,keyasint"`
	Incarnation string         `cbor:"5,keyasint"`
	Revision    fleet.Revision `cbor:"6,keyasint"`
	// Weight is how many entries this entry represents if each entry uses only a subset of the boxes; a change is sent again.
	Weight float64 `cbor:"7,keyasint,omitempty"`
	// Host is the host at which the sender itself accepts links.
	Host string `cbor:"8,keyasint,omitempty"`
}

// Heartbeat is sent periodically in both directions; Load is the number of the box's requests in progress, Slots its capacity, Entries
// how many entries share it; Resumes says that its engine can resume interrupted streams.
type Heartbeat struct {
	Revision fleet.Revision  `cbor:"1,keyasint"`
	Leaving  bool            `cbor:"2,keyasint,omitempty"`
	Stopped  bool            `cbor:"3,keyasint,omitempty"`
	Load     int             `cbor:"4,keyasint,omitempty"`
	Service  ServiceState    `cbor:"5,keyasint"`
	Progress RolloutProgress `cbor:"6,keyasint"`
	Slots    int             `cbor:"7,keyasint,omitempty"`
	Entries  int             `cbor:"8,keyasint,omitempty"`
	Resumes  bool            `cbor:"9,keyasint,omitempty"`
}

// ServiceState is the state of a box's service; Open says that it accepts requests.
type ServiceState struct {
	Service string `cbor:"1,keyasint"`
	State   string `cbor:"2,keyasint"`
	Version string `cbor:"3,keyasint,omitempty"`
	Digest  string `cbor:"4,keyasint,omitempty"`
	Open    bool   `cbor:"5,keyasint,omitempty"`
}

// RolloutProgress counts the chunks of the declared version and the bytes per source; CrossBytes is the part of PeerBytes from other
// sites.
type RolloutProgress struct {
	Version     string `cbor:"1,keyasint,omitempty"`
	Have        int    `cbor:"2,keyasint,omitempty"`
	Chunks      int    `cbor:"3,keyasint,omitempty"`
	OriginBytes int64  `cbor:"4,keyasint,omitempty"`
	PeerBytes   int64  `cbor:"5,keyasint,omitempty"`
	GivenBytes  int64  `cbor:"6,keyasint,omitempty"`
	Rejected    int    `cbor:"7,keyasint,omitempty"`
	CrossBytes  int64  `cbor:"8,keyasint,omitempty"`
}

// Config carries a complete configuration to a peer with an older revision.
type Config struct {
	Config fleet.Config `cbor:"1,keyasint"`
}

// Report carries the state of a box's upstream to entries: the loaded Model and Version, its Running and Waiting requests, its Used
// memory (in tokens that cannot be reclaimed), whether it is Closing (refuses new requests for a short time), by which factor it is
// slower (Slowdown), and how many Entries receive the report.
type Report struct {
	Server   string  `cbor:"1,keyasint"`
	Model    string  `cbor:"2,keyasint,omitempty"`
	Version  int64   `cbor:"3,keyasint,omitempty"`
	Running  int     `cbor:"4,keyasint,omitempty"`
	Waiting  int     `cbor:"5,keyasint,omitempty"`
	Used     int     `cbor:"6,keyasint,omitempty"`
	Closing  bool    `cbor:"7,keyasint,omitempty"`
	Slowdown float64 `cbor:"8,keyasint,omitempty"`
	Entries  int     `cbor:"9,keyasint,omitempty"`
	// ClosesIn is the time until the server refuses new requests, 0 if unknown.
	ClosesIn time.Duration `cbor:"10,keyasint,omitempty"`
	// HasAllPieces says that the box has all pieces of the target version.
	HasAllPieces bool `cbor:"11,keyasint,omitempty"`
	// ReadyIn is the expected time until the server runs the target version; 0 if it does, or if unknown.
	ReadyIn time.Duration `cbor:"12,keyasint,omitempty"`
	// Born is the start time of the server's incarnation, in Unix milliseconds by its own clock; 0 if unknown.
	Born int64 `cbor:"13,keyasint,omitempty"`
	// EntryWeight is the sum of the weights of the entries that receive the report; it varies by box, but its mean does not.
	EntryWeight float64 `cbor:"14,keyasint,omitempty"`
	// Revision is the newest configuration revision that the box knows.
	Revision contract.Revision `cbor:"15,keyasint,omitempty"`
	// Leaving, Limited and Limit are the pushback signals in the server's response headers to the box.
	Leaving bool    `cbor:"16,keyasint,omitempty"`
	Limited bool    `cbor:"17,keyasint,omitempty"`
	Limit   float64 `cbor:"18,keyasint,omitempty"`
	// ColdLeft is how much longer the server stays cold; 0 if it is not.
	ColdLeft time.Duration `cbor:"19,keyasint,omitempty"`
}

// Target carries a target version of a model, and how long ago it was named.
type Target struct {
	Model   string        `cbor:"1,keyasint"`
	Version int64         `cbor:"2,keyasint"`
	Age     time.Duration `cbor:"3,keyasint"`
	// Unknown says that nothing is known of the age.
	Unknown bool `cbor:"4,keyasint,omitempty"`
	// NotBefore is a time of the store's clock, in milliseconds, at which the version was not named yet; 0 if unknown.
	NotBefore int64 `cbor:"5,keyasint,omitempty"`
}

// NewTarget returns the message for a target that a daemon observed.
func NewTarget(t discovery.ObservedTarget) *Target {
	msg := &Target{Model: t.Model, Version: int64(t.Version), NotBefore: int64(t.NotBefore)}
	if t.At.IsZero() {
		msg.Unknown = true
	} else {
		msg.Age = clock.Since(t.At)
	}
	return msg
}

// Observed returns the target as of the receipt of the message.
func (t *Target) Observed() discovery.ObservedTarget {
	observed := discovery.ObservedTarget{Target: contract.Target{Model: t.Model, Version: contract.Version(t.Version)}, NotBefore: store.Time(t.NotBefore)}
	if !t.Unknown {
		observed.At = clock.Now().Add(-t.Age)
	}
	return observed
}

func (h *Hello) names() []string {
	return []string{h.ID, h.Role, h.Fleet, h.Site, h.Incarnation, h.Host}
}

func (t *Target) names() []string { return []string{t.Model} }

// Kind returns KindHello.
func (*Hello) Kind() Kind { return KindHello }

// Kind returns KindHeartbeat.
func (*Heartbeat) Kind() Kind { return KindHeartbeat }

// Kind returns KindConfig.
func (*Config) Kind() Kind { return KindConfig }

// Kind returns KindReport.
func (*Report) Kind() Kind { return KindReport }

// Kind returns KindTarget.
func (*Target) Kind() Kind { return KindTarget }
