// Package peersource provides a discovery source that is fed by an entry and falls back to
// the platform's store, so that not every daemon has to read the store.
package peersource
