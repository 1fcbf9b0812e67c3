package link

import "fmt"

// FrameError says that a peer sent something that is no frame of ours.
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

// ClosedError says that a link has ended.
type ClosedError struct{ Err error }

// Error gives the cause.
func (e *ClosedError) Error() string { return fmt.Sprintf("link closed: %v", e.Err) }

// Unwrap returns the cause.
func (e *ClosedError) Unwrap() error { return e.Err }
