package forward

import (
	"fmt"
	"time"
)

// InvalidResponseError means that a server's response is not usable, such as an incomplete one or one to another request.
type InvalidResponseError struct{ Reason string }

// Error gives the reason.
func (e *InvalidResponseError) Error() string { return "invalid response: " + e.Reason }

// ConnectionLostError means that the connection to a server ended after some of the request was written to it.
type ConnectionLostError struct{ Server string }

// Error names the server.
func (e *ConnectionLostError) Error() string {
	return fmt.Sprintf("the connection to server %s ended without a response", e.Server)
}

// UnverifiedEndError means that it can't be told whether a response without a length is complete or ended as its server exited.
type UnverifiedEndError struct {
	Server string
	Err    error
}

// Error names the server and the cause.
func (e *UnverifiedEndError) Error() string {
	return fmt.Sprintf("end of a response without a length: server %s did not answer: %v", e.Server, e.Err)
}

// Unwrap returns the cause.
func (e *UnverifiedEndError) Unwrap() error { return e.Err }

// SilentServerError means that a server exceeded its silence timeout.
type SilentServerError struct{ Server string }

// Error names the server.
func (e *SilentServerError) Error() string { return fmt.Sprintf("server %s is silent", e.Server) }

// ClosingError means that a server is about to load another version, so that its requests should move.
type ClosingError struct{ Server string }

// Error names the server.
func (e *ClosingError) Error() string { return fmt.Sprintf("server %s is closing", e.Server) }

// SupersededError means that another server began to respond first.
type SupersededError struct{ Server, To string }

// Error names both servers.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("server %s is superseded, server %s responded first", e.Server, e.To)
}

// RestartedError means that a server restarted and lost its requests in progress.
type RestartedError struct{ Server string }

// Error names the server.
func (e *RestartedError) Error() string { return fmt.Sprintf("server %s has restarted", e.Server) }

// VersionDeadlineError means that a request was still waiting at a server whose version may start no more requests.
type VersionDeadlineError struct{ Server string }

// Error names the server.
func (e *VersionDeadlineError) Error() string {
	return fmt.Sprintf("server %s runs a version that may start no more requests", e.Server)
}

// InvalidPlacementError means that a server must not get the request, so that nothing was sent to it.
type InvalidPlacementError struct{ Server string }

// Error names the server.
func (e *InvalidPlacementError) Error() string {
	return fmt.Sprintf("server %s must not get the request", e.Server)
}

// QuarantinedError means that servers exited while they ran the request, so that it is sent to no more of them.
type QuarantinedError struct{}

// Error gives the reason for the quarantine.
func (*QuarantinedError) Error() string { return "servers exited while running the request" }

// NoServerError means that no server can take the request now.
type NoServerError struct{ Service, Reason string }

// Error names the service.
func (e *NoServerError) Error() string {
	return fmt.Sprintf("no server of %s: %s", e.Service, e.Reason)
}

// BusyError means that no server would respond in time; Wait is the predicted wait at the best one.
type BusyError struct {
	Service              string
	Wait                 time.Duration
	Decoding, Prefilling int
}

// Error gives the wait and the load at the best server.
func (e *BusyError) Error() string {
	return fmt.Sprintf("no server of %s is free in time: %s at the best, writing %d, reading %d",
		e.Service, e.Wait.Round(time.Millisecond), e.Decoding, e.Prefilling)
}
