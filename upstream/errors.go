package upstream

import "fmt"

// StaleFenceError says that an engine has accepted a newer order.
type StaleFenceError struct{ Sent Fence }

// Error names the fence.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("order %+v is older than one the upstream has accepted", e.Sent)
}

// CallError says that a call to an upstream failed.
type CallError struct {
	Call string
	Err  error
}

// Error names the call.
func (e *CallError) Error() string { return fmt.Sprintf("upstream %s: %v", e.Call, e.Err) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// StatusError says that an upstream answered a call with an unexpected status.
type StatusError struct{ Status int }

// Error names the status.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// ConnectionLostError says that a connection ended after some of a request may have been written to it.
type ConnectionLostError struct{}

// Error returns a fixed text.
func (*ConnectionLostError) Error() string { return "the connection ended without a response" }

// UnsentError says that a request did not reach the upstream, so it did not run.
type UnsentError struct{ Err error }

// Error gives the cause.
func (e *UnsentError) Error() string { return fmt.Sprintf("upstream not reached: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }
