// Package shortage plays callers, entries and model engines in virtual time, with
// more requests than the engines can serve, to compare ways of letting requests
// in. The same seed plays the same callers against each way.
package shortage
