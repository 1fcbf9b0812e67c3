package fleet

import "fmt"

// DecodeError reports stored or received state that cannot be decoded.
type DecodeError struct {
	What string
	Err  error
}

// Error names what cannot be decoded.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("decode %s: %v", e.What, e.Err)
}

// Unwrap returns the codec's error.
func (e *DecodeError) Unwrap() error { return e.Err }
