package fleet

import "fmt"

// DecodeError says that stored or received declared state could not be read.
type DecodeError struct {
	What string
	Err  error
}

// Error names what could not be read.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("decode %s: %v", e.What, e.Err)
}

// Unwrap returns the codec's error.
func (e *DecodeError) Unwrap() error { return e.Err }
