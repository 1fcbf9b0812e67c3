package quarantine

import "slices"

// Exit records that a server incarnation exited, with the requests of one entry that were in flight there.
type Exit struct {
	Incarnation string        `cbor:"1,keyasint"`
	Entry       string        `cbor:"2,keyasint"`
	Requests    []Fingerprint `cbor:"3,keyasint"`
}

// Response records that a request got a response after exits; the listed incarnations exited for another reason.
type Response struct {
	Request      Fingerprint `cbor:"1,keyasint"`
	Incarnations []string    `cbor:"2,keyasint"`
}

const (
	exitPrefix     = "end/"
	responsePrefix = "answer/"
)

// Key returns the key under which the record is stored; the entry overwrites it when it learns of more requests.
func (e Exit) Key() string { return exitPrefix + e.Incarnation + "/" + e.Entry }

// Key returns the key under which the record is stored.
func (r Response) Key() string { return responsePrefix + r.Request.String() }

// Records are the records that entries exchange.
type Records struct {
	Exits     []Exit     `cbor:"1,keyasint,omitempty"`
	Responses []Response `cbor:"2,keyasint,omitempty"`
	// Removed are the keys of removed records.
	Removed []string `cbor:"3,keyasint,omitempty"`
}

// Len returns the number of records, removed ones included.
func (r Records) Len() int { return len(r.Exits) + len(r.Responses) + len(r.Removed) }

// without returns the records except those with the given keys.
func (r Records) without(keys []string) Records {
	r.Exits = slices.DeleteFunc(slices.Clone(r.Exits), func(e Exit) bool { return slices.Contains(keys, e.Key()) })
	r.Responses = slices.DeleteFunc(slices.Clone(r.Responses), func(response Response) bool { return slices.Contains(keys, response.Key()) })
	return r
}
