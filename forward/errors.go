package forward

import (
	"fmt"
	"time"
)

// BrokenAnswerError says that what a server sent is not the whole answer to the request.
type BrokenAnswerError struct{ Reason string }

// Error gives the reason.
func (e *BrokenAnswerError) Error() string { return "not a whole answer: " + e.Reason }

// SilentError says that a server sent nothing for too long.
type SilentError struct{ Server string }

// Error names the server.
func (e *SilentError) Error() string { return fmt.Sprintf("server %s is silent", e.Server) }

// ClosingError says that a server is about to load, so that requests should go on elsewhere.
type ClosingError struct{ Server string }

// Error names the server.
func (e *ClosingError) Error() string { return fmt.Sprintf("server %s is closing", e.Server) }

// HandedOnError says that a request goes on at another server, which has begun to answer it.
type HandedOnError struct{ Server, To string }

// Error names both servers.
func (e *HandedOnError) Error() string {
	return fmt.Sprintf("server %s is left, %s has begun to answer", e.Server, e.To)
}

// RestartedError says that a server has started again, and with it what it had in progress has ended.
type RestartedError struct{ Server string }

// Error names the server.
func (e *RestartedError) Error() string { return fmt.Sprintf("server %s has started again", e.Server) }

// OverdueError says that a request waits at a server whose version may begin nothing any more.
type OverdueError struct{ Server string }

// Error names the server.
func (e *OverdueError) Error() string {
	return fmt.Sprintf("server %s runs a version that may begin nothing any more", e.Server)
}

// HeldError says that servers have ended under a request, so that it goes to no more of them.
type HeldError struct{}

// Error says so.
func (*HeldError) Error() string { return "servers end under the request" }

// NoServerError says that no server can take a request now.
type NoServerError struct{ Service, Reason string }

// Error names the service.
func (e *NoServerError) Error() string {
	return fmt.Sprintf("no server of %s: %s", e.Service, e.Reason)
}

// BusyError says that a request would not be answered in time at any server; Wait is what is predicted at the best.
type BusyError struct {
	Service          string
	Wait             time.Duration
	Writing, Reading int
}

// Error tells the wait and the load at the best server.
func (e *BusyError) Error() string {
	return fmt.Sprintf("no server of %s is free in time: %s at the best, writing %d, reading %d",
		e.Service, e.Wait.Round(time.Millisecond), e.Writing, e.Reading)
}
