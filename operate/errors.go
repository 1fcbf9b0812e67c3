package operate

import "fmt"

// RejectedError reports a statement that is invalid for the fleet's current state.
type RejectedError struct{ Reason string }

// Error returns the reason.
func (e *RejectedError) Error() string { return e.Reason }

// UnknownNameError reports that an object named in a statement does not exist.
type UnknownNameError struct{ What, Name string }

// Error returns the kind and the name.
func (e *UnknownNameError) Error() string { return fmt.Sprintf("there is no %s %q", e.What, e.Name) }
