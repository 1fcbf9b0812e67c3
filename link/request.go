package link

import "time"

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

// End closes an answer with its outcome; Load is the box's requests in progress then, Ended names the life of the upstream when it
// has ended under the request.
type End struct {
	ID      uint64  `cbor:"1,keyasint"`
	Outcome Outcome `cbor:"2,keyasint"`
	Reason  string  `cbor:"3,keyasint,omitempty"`
	Digest  string  `cbor:"4,keyasint,omitempty"`
	Load    int     `cbor:"5,keyasint,omitempty"`
	Ended   string  `cbor:"6,keyasint,omitempty"`
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
