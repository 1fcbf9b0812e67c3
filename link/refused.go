package link

import "time"

// RefusedRequests lists the requests that an entry has refused to the other entries of its site, where they may be retried.
type RefusedRequests struct {
	Refusals []Refusal `cbor:"1,keyasint"`
}

// Refusal is a refused request: its fingerprint, the time since the caller's first try, and the time left until its deadline, both as
// of the sending.
type Refusal struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Age         time.Duration
	Remaining   time.Duration
}

// Kind returns KindRefusedRequests.
func (*RefusedRequests) Kind() Kind { return KindRefusedRequests }
