package box

import "fmt"

// AddressTakenError says that the box's port is in use, perhaps by an earlier daemon of the box.
type AddressTakenError struct {
	Address string
	Err     error
}

// Error names the address.
func (e *AddressTakenError) Error() string {
	return fmt.Sprintf("another daemon listens on %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *AddressTakenError) Unwrap() error { return e.Err }
