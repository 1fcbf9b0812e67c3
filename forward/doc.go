// Package forward is an entry that calls upstreams directly: it takes callers'
// requests by the routes of the contract, chooses a server for each, sends it
// there over net/http, checks the whole answer before a byte of it is passed on,
// repeats what may be repeated within a budget that all entries share, and
// resumes streams at another server of the same version.
package forward
