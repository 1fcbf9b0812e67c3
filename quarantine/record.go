package quarantine

import "slices"

// End is a life of a server that has ended, with the requests that were in progress there from one entry.
type End struct {
	Life     string        `cbor:"1,keyasint"`
	Entry    string        `cbor:"2,keyasint"`
	Requests []Fingerprint `cbor:"3,keyasint"`
}

// Answer is a request that was answered though servers had ended with it in progress: these lives ended by another cause.
type Answer struct {
	Request Fingerprint `cbor:"1,keyasint"`
	Lives   []string    `cbor:"2,keyasint"`
}

const (
	endPrefix    = "end/"
	answerPrefix = "answer/"
)

// Key returns the key under which the end is stored; an entry that learns more of it stores it anew.
func (e End) Key() string { return endPrefix + e.Life + "/" + e.Entry }

// Key returns the key under which the answer is stored.
func (a Answer) Key() string { return answerPrefix + a.Request.String() }

// Records are what entries tell one another.
type Records struct {
	Ends    []End    `cbor:"1,keyasint,omitempty"`
	Answers []Answer `cbor:"2,keyasint,omitempty"`
	// Gone are the keys of records that are no longer stored.
	Gone []string `cbor:"3,keyasint,omitempty"`
}

// Size returns how many records there are.
func (r Records) Size() int { return len(r.Ends) + len(r.Answers) + len(r.Gone) }

// without returns the records but for those with some keys.
func (r Records) without(keys []string) Records {
	r.Ends = slices.DeleteFunc(slices.Clone(r.Ends), func(e End) bool { return slices.Contains(keys, e.Key()) })
	r.Answers = slices.DeleteFunc(slices.Clone(r.Answers), func(a Answer) bool { return slices.Contains(keys, a.Key()) })
	return r
}
