// Package invariant asserts, inside the running program, what must always hold.
// A broken invariant is counted, logged and, in tests and the lab, fatal.
package invariant
