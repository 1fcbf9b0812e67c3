package pushback

import "time"

// Word is the pushback signal in one response of a server; the zero Word asks for nothing.
type Word struct {
	// Leaving says that the server accepts no new requests.
	Leaving bool
	// Rest is how long this caller should send nothing to the server.
	Rest time.Duration
	// Limited says that the server limits the total rate of all callers, to Limit requests per second, which may be 0.
	Limited bool
	Limit   float64
}
