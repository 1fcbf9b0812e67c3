package stricthttp

// InvalidHeadError reports that the head of a response is invalid. Nothing that the response says can be believed.
type InvalidHeadError struct{ Reason string }

// Error gives the reason.
func (e *InvalidHeadError) Error() string { return "invalid response: " + e.Reason }
