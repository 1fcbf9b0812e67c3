package settings

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with a settings file.
type Fault struct {
	File, Section, Key string
	Reason             string
}

// Error names file, section and key.
func (f *Fault) Error() string {
	place := f.File
	if f.Section != "" {
		place += " [" + f.Section + "]"
	}
	if f.Key != "" {
		place += " " + f.Key
	}
	return fmt.Sprintf("%s: %s", place, f.Reason)
}

// FaultsError lists all that is wrong with a settings file.
type FaultsError struct{ Faults []*Fault }

// Error lists the faults, a line each.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults.
func (e *FaultsError) Unwrap() []error {
	errs := make([]error, len(e.Faults))
	for i, fault := range e.Faults {
		errs[i] = fault
	}
	return errs
}
