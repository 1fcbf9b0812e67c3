// Package box is the daemon beside one upstream: it fetches, verifies and shares weights, orders the upstream to load them,
// forwards requests to it, and drains them before anything that would interrupt them.
package box
