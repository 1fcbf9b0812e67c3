package link

import "time"

// Have, Want, Chunk and Decline name a manifest by the first eight bytes of its digest: what comes is verified against
// the whole digest anyway, and on a thin link 32 bytes in each message would cost more than the message.

// Have tells a neighbour which chunks of a manifest the sender holds: all of them when Reset, else those new since the
// last. Queue is how many asks wait at the sender, Given how many chunks it has given.
type Have struct {
	Manifest uint64   `cbor:"1,keyasint"`
	Reset    bool     `cbor:"2,keyasint,omitempty"`
	Chunks   []uint32 `cbor:"3,keyasint,omitempty"`
	Queue    int      `cbor:"4,keyasint,omitempty"`
	Given    int      `cbor:"5,keyasint,omitempty"`
}

// Want asks a neighbour for one chunk.
type Want struct {
	Manifest uint64 `cbor:"1,keyasint"`
	Chunk    uint32 `cbor:"2,keyasint"`
}

// Chunk carries one chunk; Waited is how long it was asked for before its turn to leave came.
type Chunk struct {
	Manifest uint64        `cbor:"1,keyasint"`
	Chunk    uint32        `cbor:"2,keyasint"`
	Body     []byte        `cbor:"3,keyasint"`
	Waited   time.Duration `cbor:"4,keyasint,omitempty"`
}

// Decline says that a wanted chunk will not come from here now.
type Decline struct {
	Manifest uint64 `cbor:"1,keyasint"`
	Chunk    uint32 `cbor:"2,keyasint"`
}

// WantManifest asks a neighbour for the digests of a version's pieces, now or as soon as it has them.
type WantManifest struct {
	Model   string `cbor:"1,keyasint"`
	Version int64  `cbor:"2,keyasint"`
}

// Manifest hands on the digests of a version's pieces, each 32 bytes long, in order.
type Manifest struct {
	Model   string `cbor:"1,keyasint"`
	Version int64  `cbor:"2,keyasint"`
	Size    int    `cbor:"3,keyasint"`
	Digests []byte `cbor:"4,keyasint"`
}

// Kind returns KindHave.
func (*Have) Kind() Kind { return KindHave }

// Kind returns KindWant.
func (*Want) Kind() Kind { return KindWant }

// Kind returns KindChunk.
func (*Chunk) Kind() Kind { return KindChunk }

// Kind returns KindDecline.
func (*Decline) Kind() Kind { return KindDecline }

// Kind returns KindWantManifest.
func (*WantManifest) Kind() Kind { return KindWantManifest }

// Kind returns KindManifest.
func (*Manifest) Kind() Kind { return KindManifest }
