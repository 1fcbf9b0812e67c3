package link

import "fmt"

// FrameError reports an invalid frame from a peer, or a message that cannot be encoded.
type FrameError struct {
	Reason string
	Err    error
}

// Error gives the reason.
func (e *FrameError) Error() string {
	if e.Err == nil {
		return "link frame: " + e.Reason
	}
	return fmt.Sprintf("link frame: %s: %v", e.Reason, e.Err)
}

// Unwrap returns the codec's error.
func (e *FrameError) Unwrap() error { return e.Err }

// ClosedError reports that a link could not be opened or has closed.
type ClosedError struct{ Err error }

// Error gives the cause.
func (e *ClosedError) Error() string { return fmt.Sprintf("link closed: %v", e.Err) }

// Unwrap returns the cause.
func (e *ClosedError) Unwrap() error { return e.Err }
