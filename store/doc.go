// Package store holds the platform-independent types of a store: rows with
// conditional writes, the errors of calls, and the store's epoch.
package store
