package link

import "github.com/coralstair/coralstair/discovery"

// Evacuations carries the evacuated sites, so that a daemon that the store does not serve knows them too.
type Evacuations struct {
	Known discovery.Evacuations `cbor:"1,keyasint"`
}

// Kind returns KindEvacuations.
func (*Evacuations) Kind() Kind { return KindEvacuations }
