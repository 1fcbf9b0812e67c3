package quarantine

import "slices"

// End records that a server incarnation exited, with the requests of one entry that were in flight there.
type End struct {
	Life     string        `cbor:"1,keyasint"`
	Entry    string        `cbor:"2,keyasint"`
	Requests []Fingerprint `cbor:"3,keyasint"`
}

// Answer records that a request got a response after exits; the listed incarnations exited for another reason.
type Answer struct {
	Request Fingerprint `cbor:"1,keyasint"`
	Lives   []string    `cbor:"2,keyasint"`
}

const (
	exitPrefix     = "end/"
	responsePrefix = "answer/"
)

// Key returns the key under which the record is stored; the entry overwrites it when it learns of more requests.
func (e End) Key() string { return exitPrefix + e.Life + "/" + e.Entry }

// Key returns the key under which the record is stored.
func (a Answer) Key() string { return responsePrefix + a.Request.String() }

// Records are the records that entries exchange.
type Records struct {
	Ends    []End    `cbor:"1,keyasint,omitempty"`
	Answers []Answer `cbor:"2,keyasint,omitempty"`
	// Gone are the keys of removed records.
	Gone []string `cbor:"3,keyasint,omitempty"`
}

// Size returns the number of records, removed ones included.
func (r Records) Size() int { return len(r.Ends) + len(r.Answers) + len(r.Gone) }

// without returns the records except those with the given keys.
func (r Records) without(keys []string) Records {
	r.Ends = slices.DeleteFunc(slices.Clone(r.Ends), func(e End) bool { return slices.Contains(keys, e.Key()) })
	r.Answers = slices.DeleteFunc(slices.Clone(r.Answers), func(a Answer) bool { return slices.Contains(keys, a.Key()) })
	return r
}
