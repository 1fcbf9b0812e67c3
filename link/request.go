package link

import "time"

// Request sends a caller's request to a box; Deadline is the time left, Credit the bytes of the response that the box may send.
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

// Cancel cancels a request at a box.
type Cancel struct {
	ID uint64 `cbor:"1,keyasint"`
}

// Credit grants a box more bytes of a response to send.
type Credit struct {
	ID    uint64 `cbor:"1,keyasint"`
	Bytes int    `cbor:"2,keyasint"`
}

// Head starts a response; Version and Digest identify the weights that produce it.
type Head struct {
	ID      uint64              `cbor:"1,keyasint"`
	Status  int                 `cbor:"2,keyasint"`
	Header  map[string][]string `cbor:"3,keyasint,omitempty"`
	Version string              `cbor:"4,keyasint,omitempty"`
	Digest  string              `cbor:"5,keyasint,omitempty"`
}

// Data is a part of a response's body.
type Data struct {
	ID   uint64 `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint"`
}

// End ends a response with its outcome; Load is the number of the box's requests in progress, EndedIncarnation the upstream's
// incarnation if it exited during the request.
type End struct {
	ID               uint64  `cbor:"1,keyasint"`
	Outcome          Outcome `cbor:"2,keyasint"`
	Reason           string  `cbor:"3,keyasint,omitempty"`
	Digest           string  `cbor:"4,keyasint,omitempty"`
	Load             int     `cbor:"5,keyasint,omitempty"`
	EndedIncarnation string  `cbor:"6,keyasint,omitempty"`
}

// Outcome is the outcome of a request.
type Outcome uint8

// The outcomes of a request.
const (
	OutcomeRan Outcome = iota + 1
	OutcomeNotRun
	OutcomeUnknown
)

// String returns the outcome as callers see it in a header.
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
