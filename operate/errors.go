package operate

import "fmt"

// RejectedError says that a statement asks for something that cannot be.
type RejectedError struct{ Reason string }

// Error gives the reason.
func (e *RejectedError) Error() string { return e.Reason }

// UnknownNameError says that a statement names something that does not exist.
type UnknownNameError struct{ What, Name string }

// Error names it.
func (e *UnknownNameError) Error() string { return fmt.Sprintf("there is no %s %q", e.What, e.Name) }
