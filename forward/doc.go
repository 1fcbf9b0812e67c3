// Package forward is an entry that calls upstreams directly: it takes callers'
// requests by the routes of the contract, chooses a server for each, sends it
// there over net/http, checks the whole answer before a byte of it is passed on,
// repeats what may be repeated within a budget that all entries share, and
// resumes streams at another server of the same version. It hears from the boxes
// what their servers do: requests are spread over servers of which it hears late,
// kept from those whose version is soon due, moved away from those about to load,
// and refused callers are told when to come back. It tells boxes in turn which
// versions should run and, where they ask, what the store holds.
package forward
