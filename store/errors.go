package store

import "fmt"

// ConditionError reports that a write had no effect because its condition did not hold.
type ConditionError struct {
	Call string
	Err  error
}

// Error names the call.
func (e *ConditionError) Error() string {
	return fmt.Sprintf("table %s: condition does not hold: %v", e.Call, e.Err)
}

// Unwrap returns the cause.
func (e *ConditionError) Unwrap() error { return e.Err }

// UnavailableError reports that a call got no usable response; a write may or may not have taken effect.
type UnavailableError struct {
	Service string
	Call    string
	Err     error
}

// Error names the service and the call.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform's %s did not answer %s: %v", e.Service, e.Call, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// NotFoundError reports that an object does not exist.
type NotFoundError struct{ Key string }

// Error names the object.
func (e *NotFoundError) Error() string { return fmt.Sprintf("object %s does not exist", e.Key) }
