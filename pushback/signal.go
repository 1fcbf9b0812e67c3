package pushback

import "time"

// Signal is the pushback signal in one response of a server; the zero Signal asks for nothing.
type Signal struct {
	// Leaving says that the server accepts no new requests.
	Leaving bool
	// Pause is how long this caller should send nothing to the server.
	Pause time.Duration
	// Limited says that the server limits the total rate of all callers, to Limit requests per second, which may be 0.
	Limited bool
	Limit   float64
}
