package quarantine

import "slices"

// Exit records that a server incarnation exited, with the requests of one entry that were in flight there.
type Exit struct {
	Incarnation string        `cbor:"1,keyasint"`
	Entry       string        `cbor:"2,keyasint"`
	Requests    []Fingerprint `cbor:"3,keyasint"`
	// Prompts are the prompts of those requests to which the server had at most begun to respond.
	Prompts []Prompt `cbor:"4,keyasint,omitempty"`
	// At is when the entry noticed the exit, in Unix ms by its clock; 0 if unknown.
	At int64 `cbor:"5,keyasint,omitempty"`
}

// Prompt holds the parts of a prompt that may have caused an exit. Sent is when it was sent to the server, in Unix ms by the entry's clock.
type Prompt struct {
	Parts []Fingerprint `cbor:"1,keyasint"`
	Sent  int64         `cbor:"2,keyasint"`
}

// equal reports whether two prompts have the same parts.
func (p Prompt) equal(other Prompt) bool { return slices.Equal(p.Parts, other.Parts) }

// Response records that a request, or a request with a prompt part, got a response after exits; the listed incarnations exited for another
// reason.
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

// suspects returns the fingerprints of all requests and prompt parts that may have caused the exit.
func (e Exit) suspects() []Fingerprint { return slices.Concat(e.Requests, e.parts()) }

// parts returns the parts of all prompts, each once.
func (e Exit) parts() []Fingerprint {
	var parts []Fingerprint
	for _, prompt := range e.Prompts {
		for _, part := range prompt.Parts {
			if !slices.Contains(parts, part) {
				parts = append(parts, part)
			}
		}
	}
	return parts
}

// equal reports whether two records of an exit name the same suspects.
func (e Exit) equal(other Exit) bool {
	return slices.Equal(e.Requests, other.Requests) && slices.EqualFunc(e.Prompts, other.Prompts, Prompt.equal)
}

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
