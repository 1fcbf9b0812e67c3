package link

import "time"

// Refused lists the requests that an entry has refused to the other entries of its site, where they may be retried.
type Refused struct {
	Refusals []Refusal `cbor:"1,keyasint"`
}

// Refusal is a refused request: its fingerprint, the time since the caller's first try, and the time left until its deadline, both as
// of the sending.
type Refusal struct {
	_     struct{} `cbor:",toarray"`
	Print uint64
	Ago   time.Duration
	Left  time.Duration
}

// Kind returns KindRefused.
func (*Refused) Kind() Kind { return KindRefused }
