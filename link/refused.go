package link

import "time"

// Refused tells an entry which requests another entry of its site has refused, and may come back.
type Refused struct {
	Refusals []Refusal `cbor:"1,keyasint"`
}

// Refusal is a request that was refused: what tells it when it comes again, how long ago it was tried first, and how much longer its
// caller waits, as of the sending.
type Refusal struct {
	_     struct{} `cbor:",toarray"`
	Print uint64
	Ago   time.Duration
	Left  time.Duration
}

// Kind returns KindRefused.
func (*Refused) Kind() Kind { return KindRefused }
