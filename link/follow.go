package link

import (
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/quarantine"
)

// Follow asks an entry to tell, from now on, what a box of a service needs of what the store holds, so that boxes need not
// read it themselves; an empty service ends that. List is asked by another entry, for the servers of all services.
type Follow struct {
	Service string `cbor:"1,keyasint,omitempty"`
	List    bool   `cbor:"2,keyasint,omitempty"`
}

// Entries tells an entry which entries of its site hear a box, by the hosts at which they take links.
type Entries struct {
	Hosts []string `cbor:"1,keyasint,omitempty"`
}

// Declared tells a box the services that it needs of a configuration: its own and the origins. Away says that the entry
// has lost the store and tells nothing more: another entry is to be followed.
type Declared struct {
	Revision contract.Revision  `cbor:"1,keyasint,omitempty"`
	Services []contract.Service `cbor:"2,keyasint,omitempty"`
	Away     bool               `cbor:"3,keyasint,omitempty"`
}

// Servers tells a box the listed servers of its service: all of them when Reset, else those that changed or are gone.
type Servers struct {
	Reset   bool              `cbor:"1,keyasint,omitempty"`
	Present []contract.Server `cbor:"2,keyasint,omitempty"`
	Gone    []string          `cbor:"3,keyasint,omitempty"`
}

// Ends tells an entry what entries told of ends of servers and of requests under which they ended: all of it when Reset, else what
// changed or is gone.
type Ends struct {
	Reset   bool               `cbor:"1,keyasint,omitempty"`
	Records quarantine.Records `cbor:"2,keyasint"`
}

// Kind returns KindEnds.
func (*Ends) Kind() Kind { return KindEnds }

// Kind returns KindFollow.
func (*Follow) Kind() Kind { return KindFollow }

// Kind returns KindDeclared.
func (*Declared) Kind() Kind { return KindDeclared }

// Kind returns KindEntries.
func (*Entries) Kind() Kind { return KindEntries }

// Kind returns KindServers.
func (*Servers) Kind() Kind { return KindServers }
