// Package box is the daemon beside one upstream: it fetches, verifies and
// shares weights, gives the upstream its orders, guards what the upstream runs
// and drains before anything that would cut off a request.
package box
