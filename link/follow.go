package link

import (
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/quarantine"
)

// Follow subscribes a box to an entry's feed of the store's data for a service, so that boxes need not read the store; an empty service
// unsubscribes. List subscribes another entry to the servers of all services.
type Follow struct {
	Service string `cbor:"1,keyasint,omitempty"`
	List    bool   `cbor:"2,keyasint,omitempty"`
	// Revision is the configuration that an entry has, so that only what changed since is sent.
	Revision contract.Revision `cbor:"3,keyasint,omitempty"`
}

// Entries lists the entries of the receiver's site that are linked to a box, by the hosts at which they accept links.
type Entries struct {
	Hosts []string `cbor:"1,keyasint,omitempty"`
}

// Declared carries the services of a configuration that a box needs: its own and the origins. StoreLost says that the entry does not read
// the store and ends its feed, so that another entry must be followed: Reader, if it is the host of the one that this entry follows.
type Declared struct {
	Revision  contract.Revision  `cbor:"1,keyasint,omitempty"`
	Services  []contract.Service `cbor:"2,keyasint,omitempty"`
	StoreLost bool               `cbor:"3,keyasint,omitempty"`
	Reader    string             `cbor:"4,keyasint,omitempty"`
}

// DeclaredChange carries what operators declared to an entry that follows another one: the configuration if it changed, the target
// versions and the evacuated sites, as of a position in the store's history.
type DeclaredChange struct {
	AsOf        discovery.Cursor       `cbor:"1,keyasint"`
	Config      *contract.ConfigChange `cbor:"2,keyasint,omitempty"`
	Targets     []Target               `cbor:"3,keyasint,omitempty"`
	Evacuations discovery.Evacuations  `cbor:"4,keyasint"`
}

// Kind returns KindDeclaredChange.
func (*DeclaredChange) Kind() Kind { return KindDeclaredChange }

// Servers carries the listed servers to a follower: all of them if Reset, otherwise those that changed or are gone.
type Servers struct {
	Reset   bool              `cbor:"1,keyasint,omitempty"`
	Present []contract.Server `cbor:"2,keyasint,omitempty"`
	Gone    []string          `cbor:"3,keyasint,omitempty"`
}

// QuarantineRecords relays the quarantine records of server exits and of the requests in progress: all of them if Reset,
// otherwise what changed or is gone.
type QuarantineRecords struct {
	Reset   bool               `cbor:"1,keyasint,omitempty"`
	Records quarantine.Records `cbor:"2,keyasint"`
}

// Kind returns KindQuarantineRecords.
func (*QuarantineRecords) Kind() Kind { return KindQuarantineRecords }

// Kind returns KindFollow.
func (*Follow) Kind() Kind { return KindFollow }

// Kind returns KindDeclared.
func (*Declared) Kind() Kind { return KindDeclared }

// Kind returns KindEntries.
func (*Entries) Kind() Kind { return KindEntries }

// Kind returns KindServers.
func (*Servers) Kind() Kind { return KindServers }
