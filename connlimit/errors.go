package connlimit

// reason is why a connection is closed, or accepted no more.
type reason string

const (
	connectionsFull reason = "too many connections"
	memoryFull      reason = "unfinished requests hold too much memory"
	headerTooLong   reason = "header too long"
	headerTooSlow   reason = "header not complete in time"
	requestTooSlow  reason = "request not complete in time"
	idleTooLong     reason = "idle for too long"
	refused         reason = "refused"
)

// ClosedError reports that a connection was closed, or reads no more, because of a limit.
type ClosedError struct{ Reason string }

// Error gives the reason.
func (e *ClosedError) Error() string { return "connection closed: " + e.Reason }
