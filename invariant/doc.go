// Package invariant checks invariants of the system at run time. Violations are
// counted and logged; in tests and the lab they are fatal.
package invariant
