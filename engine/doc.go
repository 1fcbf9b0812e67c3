// Package engine predicts what a model engine does with a request: how long
// until its first event, and how long the pauses between events become. It is
// pure: it is told the figures of the contract and the load, and keeps nothing.
package engine
