package forward

import "fmt"

// BrokenAnswerError says that what a server sent is not the whole answer to the request.
type BrokenAnswerError struct{ Reason string }

// Error gives the reason.
func (e *BrokenAnswerError) Error() string { return "not a whole answer: " + e.Reason }

// SilentError says that a server sent nothing for too long.
type SilentError struct{ Server string }

// Error names the server.
func (e *SilentError) Error() string { return fmt.Sprintf("server %s is silent", e.Server) }

// NoServerError says that no server can take a request now.
type NoServerError struct{ Service, Reason string }

// Error names the service.
func (e *NoServerError) Error() string {
	return fmt.Sprintf("no server of %s: %s", e.Service, e.Reason)
}
