// Package entry is the daemon of an entry: it admits, routes, retries and relays
// callers' requests, executes operators' statements and sends the configuration to
// the boxes.
package entry
