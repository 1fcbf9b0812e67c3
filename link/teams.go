package link

import "time"

// TeamUses tells the other entries of a site what teams asked for and were admitted with at an entry while it refuses first tries.
type TeamUses struct {
	Entry string    `cbor:"1,keyasint"`
	Rooms []RoomUse `cbor:"2,keyasint"`
}

// RoomUse is what the largest teams used of the room for requests of a rank at a service, within a window that ended Age before the
// sending.
type RoomUse struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Rank    int
	Age     time.Duration
	Teams   []TeamUse
}

// TeamUse is the engine's work that a team asked for and was admitted with.
type TeamUse struct {
	_        struct{} `cbor:",toarray"`
	Team     string
	Asked    time.Duration
	Admitted time.Duration
}

// Kind returns KindTeamUses.
func (*TeamUses) Kind() Kind { return KindTeamUses }
