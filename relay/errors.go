package relay

import (
	"fmt"
	"time"
)

// NotRunError reports that a request certainly did not run.
type NotRunError struct {
	Reason string
	// At is when the box said so; zero if it did not.
	At time.Time
}

// Error gives the reason.
func (e *NotRunError) Error() string { return "not run: " + e.Reason }

// LostError reports that it is unknown whether, or how far, a request ran.
type LostError struct {
	Reason string
	Err    error
	// EndedIncarnation is the incarnation of the upstream that exited during the request; empty if none did.
	EndedIncarnation string
}

// Error gives the reason.
func (e *LostError) Error() string {
	if e.Err == nil {
		return "lost: " + e.Reason
	}
	return fmt.Sprintf("lost: %s: %v", e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }
