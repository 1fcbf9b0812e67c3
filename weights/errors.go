package weights

import "fmt"

// DigestSyntaxError says that a text is not a digest.
type DigestSyntaxError struct{ Text string }

// Error names the text.
func (e *DigestSyntaxError) Error() string {
	return fmt.Sprintf("%q is not a digest: want sha256: and 64 hexadecimal digits", e.Text)
}

// MismatchError says that data does not have the expected digest.
type MismatchError struct {
	What      string
	Want, Got Digest
}

// Error names both digests.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("%s has digest %s, want %s", e.What, e.Got, e.Want)
}

// ManifestError says that a manifest cannot be used.
type ManifestError struct {
	Reason string
	Err    error
}

// Error gives the reason.
func (e *ManifestError) Error() string {
	if e.Err == nil {
		return "manifest: " + e.Reason
	}
	return fmt.Sprintf("manifest: %s: %v", e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *ManifestError) Unwrap() error { return e.Err }

// LimitError says that weights do not fit into the store's limit; sizes are in bytes.
type LimitError struct{ Limit, Held, Needed int64 }

// Error gives the sizes in bytes.
func (e *LimitError) Error() string {
	return fmt.Sprintf("weights of %d bytes do not fit: %d of %d bytes are held", e.Needed, e.Held, e.Limit)
}

// NameTakenError says that a published name is bound to other weights.
type NameTakenError struct {
	Name      string
	Want, Got string
}

// Error gives the name and both digests.
func (e *NameTakenError) Error() string {
	return fmt.Sprintf("name %q already stands for %s, not %s", e.Name, e.Got, e.Want)
}
