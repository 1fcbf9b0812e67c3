package settings

import (
	"fmt"
	"strings"
)

// Fault is one error in a settings file.
type Fault struct {
	File, Section, Key string
	Reason             string
}

// Error returns the file, section, key and reason.
func (f *Fault) Error() string {
	location := f.File
	if f.Section != "" {
		location += " [" + f.Section + "]"
	}
	if f.Key != "" {
		location += " " + f.Key
	}
	return fmt.Sprintf("%s: %s", location, f.Reason)
}

// FaultsError holds all errors of a settings file.
type FaultsError struct{ Faults []*Fault }

// Error returns the faults, one per line.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults as errors.
func (e *FaultsError) Unwrap() []error {
	errs := make([]error, len(e.Faults))
	for i, fault := range e.Faults {
		errs[i] = fault
	}
	return errs
}
