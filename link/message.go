package link

import (
	"time"

	"github.com/coralstair/coralstair/fleet"
)

// Kind tells the type of a message on the wire; numbers are never given anew.
type Kind uint8

// The kinds of message.
const (
	KindHello Kind = iota + 1
	KindHeartbeat
	KindConfig
	KindRequest
	KindCancel
	KindCredit
	KindHead
	KindData
	KindEnd
	KindHave
	KindWant
	KindChunk
	KindDecline
	KindReport
	KindWantManifest
	KindManifest
	KindTarget
)

// Message is one typed message.
type Message interface{ Kind() Kind }

// Hello opens a link and says who speaks.
type Hello struct {
	ID          string         `cbor:"1,keyasint"`
	Role        string         `cbor:"2,keyasint"`
	Fleet       string         `cbor:"3,keyasint"`
	Site        string         `cbor:"4,keyasint"`
	Incarnation string         `cbor:"5,keyasint"`
	Revision    fleet.Revision `cbor:"6,keyasint"`
}

// Heartbeat is sent every second each way; Load is the box's requests in progress, Slots how many it takes, Entries how
// many entries share them; Resumes says that its engine goes on with broken-off streams.
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

// ServiceState is what a box offers for its service; Open says that it lets requests in.
type ServiceState struct {
	Service string `cbor:"1,keyasint"`
	State   string `cbor:"2,keyasint"`
	Version string `cbor:"3,keyasint,omitempty"`
	Digest  string `cbor:"4,keyasint,omitempty"`
	Open    bool   `cbor:"5,keyasint,omitempty"`
}

// RolloutProgress counts chunks on the way to the declared version and bytes per source; CrossBytes are those of
// PeerBytes that came from other sites.
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

// Config hands on a whole configuration to a peer with an older revision.
type Config struct {
	Config fleet.Config `cbor:"1,keyasint"`
}

// Request hands one caller's request to a box; Deadline is the time left.
type Request struct {
	ID       uint64              `cbor:"1,keyasint"`
	Service  string              `cbor:"2,keyasint"`
	Method   string              `cbor:"3,keyasint"`
	Path     string              `cbor:"4,keyasint"`
	Header   map[string][]string `cbor:"5,keyasint,omitempty"`
	Body     []byte              `cbor:"6,keyasint,omitempty"`
	Deadline time.Duration       `cbor:"7,keyasint"`
	Digest   string              `cbor:"8,keyasint,omitempty"`
	Credit   int                 `cbor:"9,keyasint"`
}

// Cancel tells a box that the caller of a request has gone.
type Cancel struct {
	ID uint64 `cbor:"1,keyasint"`
}

// Credit lets a box send so many more bytes of an answer.
type Credit struct {
	ID    uint64 `cbor:"1,keyasint"`
	Bytes int    `cbor:"2,keyasint"`
}

// Head opens an answer and pins it to a box and a version.
type Head struct {
	ID      uint64              `cbor:"1,keyasint"`
	Status  int                 `cbor:"2,keyasint"`
	Header  map[string][]string `cbor:"3,keyasint,omitempty"`
	Version string              `cbor:"4,keyasint,omitempty"`
	Digest  string              `cbor:"5,keyasint,omitempty"`
}

// Data is a part of an answer's body.
type Data struct {
	ID   uint64 `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint"`
}

// End closes an answer with its outcome; Load is the box's requests in progress then.
type End struct {
	ID      uint64  `cbor:"1,keyasint"`
	Outcome Outcome `cbor:"2,keyasint"`
	Reason  string  `cbor:"3,keyasint,omitempty"`
	Digest  string  `cbor:"4,keyasint,omitempty"`
	Load    int     `cbor:"5,keyasint,omitempty"`
}

// Outcome says what became of a request.
type Outcome uint8

// The outcomes of a request.
const (
	OutcomeRan Outcome = iota + 1
	OutcomeNotRun
	OutcomeUnknown
)

// String returns the outcome as callers read it.
func (o Outcome) String() string {
	switch o {
	case OutcomeRan:
		return "ran"
	case OutcomeNotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

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

// Report tells entries what the upstream of a box is doing. Closing says that it takes nothing new for a short time,
// Model and Version what it runs, Waiting and Running its requests, Slow how many times slower than usual it works, and
// Entries how many entries hear it.
type Report struct {
	Server  string  `cbor:"1,keyasint"`
	Model   string  `cbor:"2,keyasint,omitempty"`
	Version int64   `cbor:"3,keyasint,omitempty"`
	Running int     `cbor:"4,keyasint,omitempty"`
	Waiting int     `cbor:"5,keyasint,omitempty"`
	Used    int     `cbor:"6,keyasint,omitempty"`
	Closing bool    `cbor:"7,keyasint,omitempty"`
	Slow    float64 `cbor:"8,keyasint,omitempty"`
	Entries int     `cbor:"9,keyasint,omitempty"`
	// Closes is how soon the server takes nothing new, 0 when it is not known to.
	Closes time.Duration `cbor:"10,keyasint,omitempty"`
	// Filled says that all pieces of the version that should run are held.
	Filled bool `cbor:"11,keyasint,omitempty"`
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

// Target tells which version of a model should run, and how long ago that was named.
type Target struct {
	Model   string        `cbor:"1,keyasint"`
	Version int64         `cbor:"2,keyasint"`
	Ago     time.Duration `cbor:"3,keyasint"`
}

// Kind returns KindHello.
func (*Hello) Kind() Kind { return KindHello }

// Kind returns KindHeartbeat.
func (*Heartbeat) Kind() Kind { return KindHeartbeat }

// Kind returns KindConfig.
func (*Config) Kind() Kind { return KindConfig }

// Kind returns KindRequest.
func (*Request) Kind() Kind { return KindRequest }

// Kind returns KindCancel.
func (*Cancel) Kind() Kind { return KindCancel }

// Kind returns KindCredit.
func (*Credit) Kind() Kind { return KindCredit }

// Kind returns KindHead.
func (*Head) Kind() Kind { return KindHead }

// Kind returns KindData.
func (*Data) Kind() Kind { return KindData }

// Kind returns KindEnd.
func (*End) Kind() Kind { return KindEnd }

// Kind returns KindHave.
func (*Have) Kind() Kind { return KindHave }

// Kind returns KindWant.
func (*Want) Kind() Kind { return KindWant }

// Kind returns KindChunk.
func (*Chunk) Kind() Kind { return KindChunk }

// Kind returns KindDecline.
func (*Decline) Kind() Kind { return KindDecline }

// Kind returns KindReport.
func (*Report) Kind() Kind { return KindReport }

// Kind returns KindWantManifest.
func (*WantManifest) Kind() Kind { return KindWantManifest }

// Kind returns KindManifest.
func (*Manifest) Kind() Kind { return KindManifest }

// Kind returns KindTarget.
func (*Target) Kind() Kind { return KindTarget }

func newMessage(kind Kind) Message {
	switch kind {
	case KindHello:
		return new(Hello)
	case KindHeartbeat:
		return new(Heartbeat)
	case KindConfig:
		return new(Config)
	case KindRequest:
		return new(Request)
	case KindCancel:
		return new(Cancel)
	case KindCredit:
		return new(Credit)
	case KindHead:
		return new(Head)
	case KindData:
		return new(Data)
	case KindEnd:
		return new(End)
	case KindHave:
		return new(Have)
	case KindWant:
		return new(Want)
	case KindChunk:
		return new(Chunk)
	case KindDecline:
		return new(Decline)
	case KindReport:
		return new(Report)
	case KindWantManifest:
		return new(WantManifest)
	case KindManifest:
		return new(Manifest)
	case KindTarget:
		return new(Target)
	default:
		return nil
	}
}
