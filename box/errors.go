package box

import "fmt"

// AddressTakenError says that the box's port is held, by an earlier daemon of the box perhaps.
type AddressTakenError struct {
	Address string
	Err     error
}

// Error names the address.
func (e *AddressTakenError) Error() string {
	return fmt.Sprintf("another daemon holds %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *AddressTakenError) Unwrap() error { return e.Err }
