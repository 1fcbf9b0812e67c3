// Package store holds what the product asks of a platform's store, whichever
// adapter meets it: rows under conditions, objects, and what their calls may
// answer. It names no platform.
package store
