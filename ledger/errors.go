package ledger

import (
	"fmt"
	"strings"

	"github.com/coralstair/coralstair/fleet"
)

// ConflictError says that other decisions were accepted first; nothing was changed.
type ConflictError struct {
	Base  fleet.Revision
	Since []fleet.Change
}

// Error tells what the other operators did.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "the fleet is no longer at revision %d", e.Base)
	for _, change := range e.Since {
		fmt.Fprintf(&b, "; revision %d by %s: %s", change.Revision, change.Operator, change.Statement)
	}
	return b.String()
}

// UnknownError says that it could not be found out whether a decision took effect.
type UnknownError struct {
	Operation string
	Err       error
}

// Error names the operation to ask for again.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("whether operation %s took effect is not known; repeat it with the same id: %v", e.Operation, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// RefusedError says that the platform did not take a decision; nothing was changed.
type RefusedError struct{ Err error }

// Error gives the cause.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("nothing was accepted: %v", e.Err)
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }
