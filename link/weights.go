package link

import "time"

// Have, Want, Chunk and Decline identify a manifest by the first eight bytes of its digest to keep messages small; received data is
// verified against the full digest.

// Have lists the chunks of a manifest that the sender has: all of them if Reset, otherwise those new since its last message. Queue is
// the number of requests queued at the sender, Sent the number of chunks that it has sent.
type Have struct {
	Manifest uint64   `cbor:"1,keyasint"`
	Reset    bool     `cbor:"2,keyasint,omitempty"`
	Chunks   []uint32 `cbor:"3,keyasint,omitempty"`
	Queue    int      `cbor:"4,keyasint,omitempty"`
	Sent     int      `cbor:"5,keyasint,omitempty"`
}

// Want requests one chunk from a peer.
type Want struct {
	Manifest uint64 `cbor:"1,keyasint"`
	Chunk    uint32 `cbor:"2,keyasint"`
}

// Chunk carries one chunk; QueuedFor is how long its request was queued at the sender.
type Chunk struct {
	Manifest  uint64        `cbor:"1,keyasint"`
	Chunk     uint32        `cbor:"2,keyasint"`
	Body      []byte        `cbor:"3,keyasint"`
	QueuedFor time.Duration `cbor:"4,keyasint,omitempty"`
}

// Decline rejects the request for a chunk.
type Decline struct {
	Manifest uint64 `cbor:"1,keyasint"`
	Chunk    uint32 `cbor:"2,keyasint"`
}

// WantManifest requests the digests of a version's pieces from a peer, now or as soon as it has them.
type WantManifest struct {
	Model   string `cbor:"1,keyasint"`
	Version int64  `cbor:"2,keyasint"`
}

// Manifest carries the digests of a version's pieces, each 32 bytes long, in order.
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

func (m *WantManifest) names() []string { return []string{m.Model} }

// Kind returns KindWantManifest.
func (*WantManifest) Kind() Kind { return KindWantManifest }

// Kind returns KindManifest.
func (*Manifest) Kind() Kind { return KindManifest }
