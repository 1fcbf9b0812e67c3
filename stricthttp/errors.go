package stricthttp

// InvalidHeadError reports that the head of a response is invalid. Nothing that the response says can be believed.
type InvalidHeadError struct{ Reason string }

// Error gives the reason.
func (e *InvalidHeadError) Error() string { return "invalid response: " + e.Reason }

// UnwrittenError reports that a connection ended after the head of a response, but before the whole request was written.
type UnwrittenError struct{ Err error }

// Error gives the cause.
func (e *UnwrittenError) Error() string {
	return "connection ended before the request was written: " + e.Err.Error()
}

// Unwrap returns the error of the write.
func (e *UnwrittenError) Unwrap() error { return e.Err }
