// Package entry is the daemon of a thin entry box: it admits, routes, retries
// and relays callers' requests, takes operators' statements and hands the
// configuration on to the boxes.
package entry
