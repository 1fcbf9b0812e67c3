// Package supervise runs the components of a daemon in a supervision tree, which
// restarts those that fail, next to the daemon's HTTP server.
package supervise
