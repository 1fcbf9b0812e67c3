package box

import "fmt"

// AddressInUseError says that the box's port is in use, perhaps by an earlier daemon of the box.
type AddressInUseError struct {
	Address string
	Err     error
}

// Error names the address.
func (e *AddressInUseError) Error() string {
	return fmt.Sprintf("another daemon listens on %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *AddressInUseError) Unwrap() error { return e.Err }
