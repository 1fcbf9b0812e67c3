// Package supervise runs the parts of a daemon and its HTTP server as one tree:
// a part that fails is started again.
package supervise
