package ledger

import (
	"fmt"
	"strings"

	"github.com/coralstair/coralstair/fleet"
)

// ConflictError reports that other changes were accepted first; nothing was changed.
type ConflictError struct {
	Base  fleet.Revision
	Since []fleet.Change
}

// Error lists the changes since the base revision.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "the fleet is no longer at revision %d", e.Base)
	for _, change := range e.Since {
		fmt.Fprintf(&b, "; revision %d by %s: %s", change.Revision, change.Operator, change.Statement)
	}
	return b.String()
}

// UnknownError reports a change whose outcome is unknown.
type UnknownError struct {
	Operation string
	Err       error
}

// Error returns the operation's id and the cause.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("the outcome of operation %s is unknown; repeat it with the same id: %v", e.Operation, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// RefusedError reports a failed request to the table service; nothing was changed.
type RefusedError struct{ Err error }

// Error returns the cause.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("nothing was accepted: %v", e.Err)
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }
